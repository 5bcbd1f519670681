package mesh

import "balsamproxy"

// status returns the status that this daemon sends to peers.
func (daemon *Daemon) status() balsamproxy.Status {
	return balsamproxy.Status{
		Host:        daemon.settings.Host,
		DataCentre:  daemon.settings.DataCentre,
		Incarnation: daemon.incarnation,
		PeerAddress: daemon.settings.PeerAddress,
		Leaving:     daemon.closing.Load(),
		Stopping:    daemon.leaving.Load() || !daemon.registry.StoreReachable(),
		Targets:     daemon.local.Targets(),
		Config:      daemon.follower.version(),
		Homes:       daemon.registry.Held(),
		Backups:     daemon.registry.Backups(),
		Crashes:     daemon.crashes.recent(daemon.clock.Now()),
		Evacuations: daemon.follower.evacuationRecords(),
		Era:         daemon.era(),
		Custody:     daemon.custody.hosts(daemon.clock.Now()),
		CrashDigest: daemon.crashes.table.Digest(),
	}
}

func (daemon *Daemon) handleGreeting(status balsamproxy.Status) {
	daemon.view.recordGreeting(status)
	daemon.wakeDialer()
}

func (daemon *Daemon) handleStatus(status balsamproxy.Status) {
	status = daemon.inPresentEra(status)
	isNew := daemon.view.update(status)
	daemon.follower.mergeEvacuations(status.Evacuations)
	daemon.crashes.merge(status.Crashes, daemon.clock.Now())
	if isNew {
		daemon.handleNewLink(status.Host)
	}
	daemon.registry.ApplyStatus(status)
	if daemon.follower.relay.fetchesFrom(status) {
		select {
		case daemon.fetches <- status.Host:
		default:
		}
	}
}

// handleNewLink has a peer asked for what it may know of this host, and asked to keep
// what the store does not take.
func (daemon *Daemon) handleNewLink(host balsamproxy.HostID) {
	select {
	case daemon.recollecting <- host:
	default:
	}
	daemon.recorder.renewDeposit()
	daemon.crashExchange.handleNewLink(host)
}

func (daemon *Daemon) handleLostPeer(host balsamproxy.HostID) {
	daemon.view.remove(host)
	daemon.wakeDialer()
}

func (daemon *Daemon) wakeDialer() {
	select {
	case daemon.dialWakeup <- struct{}{}:
	default:
	}
}
