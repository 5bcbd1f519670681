package mesh

import "balsamproxy"

// era returns the highest era of the store that this daemon knows, or zero.
func (daemon *Daemon) era() balsamproxy.StoreEra {
	if daemon.platform.Eras == nil {
		return 0
	}
	return daemon.platform.Eras.Era()
}

// enterEra is called once for each era of the store, before a response of it is used.
// After a rise it ends what depends on writes that the store has lost.
func (daemon *Daemon) enterEra(former, current balsamproxy.StoreEra) {
	daemon.registry.EnterEra(former, current)
	if former == 0 {
		daemon.announceLater()
		return
	}
	daemon.follower.enterEra(current)
	daemon.spender.EndNewFleet()
	daemon.view.forgetHomes()
	daemon.metrics.Counter("store_era_raised").Inc(1)
	daemon.log.Warn().Str("event", "store-era-raised").Int64("old", former.Number()).Int64("new", current.Number()).Send()
	daemon.announce()
	if len(daemon.local.Records()) > 0 {
		// The store may have lost what it acknowledged to them.
		daemon.recorder.mark()
	}
}

// inPresentEra applies the era in the status of a peer, and returns the status without
// the tenures of an earlier era.
func (daemon *Daemon) inPresentEra(status balsamproxy.Status) balsamproxy.Status {
	if daemon.platform.Eras == nil {
		return status
	}
	if status.Era > 0 {
		daemon.platform.Eras.ObserveEra(status.Era)
	}
	if status.Era < daemon.era() {
		status.Homes, status.Backups = nil, nil
	}
	return status
}
