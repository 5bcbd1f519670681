package mesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"balsamproxy"
	"balsamproxy/core/announced"
	"balsamproxy/core/settings"
	"balsamproxy/core/shutdown"
	"balsamproxy/task"
)

const (
	// dialInterval is the time between two attempts to dial the hosts without a
	// link.
	dialInterval = 250 * time.Millisecond
	dialTimeout  = 1200 * time.Millisecond
	// recallTimeout bounds the wait for the stored record of the targets of this
	// host at startup.
	recallTimeout = 2 * time.Second
	// peerNoticePeriod is the time between the announcement to peers that this
	// daemon leaves and the moment when it rejects their calls.
	peerNoticePeriod = 200 * time.Millisecond
	// stopTimeout bounds the wait for background tasks after that.
	stopTimeout = 150 * time.Millisecond
	// readHeaderTimeout bounds the time to read a request header on the
	// announcement, readiness and metrics listeners.
	readHeaderTimeout = 2 * time.Second
)

// running is a started daemon.
type running struct {
	daemon  *Daemon
	context context.Context
	tasks   task.Group
	dials   task.Group
	failed  chan error
	// accepting is closed when no more connections of callers are accepted.
	accepting chan struct{}
}

// Run serves until ctx ends or a background task fails, then shuts down
// gracefully. Changed settings are received from reloads.
func (daemon *Daemon) Run(ctx context.Context, reloads <-chan settings.Mesh) error {
	addresses := []string{daemon.settings.CallerAddress, daemon.settings.PeerAddress, daemon.settings.TargetAddress, daemon.settings.ReadyAddress}
	if daemon.settings.MetricsAddress != "" {
		addresses = append(addresses, daemon.settings.MetricsAddress)
	}
	listeners, err := listen(addresses...)
	if err != nil {
		return err
	}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	running := &running{daemon: daemon, context: inner, failed: make(chan error, 1), accepting: make(chan struct{})}
	running.start(listeners)
	daemon.log.Info().Str("event", "started").Str("incarnation", daemon.incarnation).
		Str("service", string(daemon.settings.Service)).Str("callers", daemon.settings.CallerAddress).Send()
	var failed error
	for serving := true; serving; {
		select {
		case <-ctx.Done():
			serving = false
		case failed = <-running.failed:
			daemon.log.Error().Str("event", "part-failed").Err(failed).Send()
			serving = false
		case changed := <-reloads:
			daemon.reload(changed)
		}
	}
	running.shutDown(listeners[0])
	stop()
	select {
	case <-running.tasks.Ended():
	case <-time.After(stopTimeout):
		daemon.log.Warn().Str("event", "parts-still-running").Send()
	}
	daemon.log.Info().Str("event", "ended").Send()
	return errors.Join(failed, daemon.metricsCloser.Close())
}

// reload applies the settings that may change at run time.
func (daemon *Daemon) reload(changed settings.Mesh) {
	daemon.service.Store(&changed.Service)
	daemon.log.Info().Str("event", "reloaded").Str("service", string(changed.Service)).Send()
}

func (running *running) start(listeners []net.Listener) {
	daemon := running.daemon
	running.startTask(daemon.pool.Run)
	running.startTask(daemon.follower.run)
	running.startTask(daemon.registry.Run)
	running.startTask(daemon.registry.RunLists)
	running.startTask(daemon.registry.RunLeases)
	running.startTask(daemon.local.Run)
	running.startTask(daemon.watchProcessor)
	running.startTask(daemon.watchLimits)
	running.startTask(daemon.runAnnounce)
	running.startTask(running.dial)
	running.startTask(running.fetchConfigs)
	running.startTask(func(ctx context.Context) error {
		defer close(running.accepting)
		return daemon.callers.Serve(ctx, listeners[0])
	})
	running.serve(daemon.peerServer.HTTPServer(), listeners[1])
	running.startTask(daemon.crashExchange.run)
	running.startTask(daemon.recorder.run)
	running.startTask(daemon.recorder.runDeposits)
	recollection := &recollection{daemon: daemon, read: make(chan []announced.Record, 1)}
	running.startTask(recollection.run)
	running.startTask(func(ctx context.Context) error {
		recollection.read <- daemon.recallTargets(ctx)
		running.serve(newServer(daemon.platform.Announcements(daemon.local)), listeners[2])
		return nil
	})
	running.serve(newServer(daemon.readyHandler()), listeners[3])
	if len(listeners) > 4 {
		running.serve(newServer(daemon.metricsHandler()), listeners[4])
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

func (running *running) startTask(run func(context.Context) error) {
	running.tasks.Start(running.context, run, func(err error) {
		if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) ||
			errors.Is(err, net.ErrClosed) || running.daemon.leaving.Load() {
			return
		}
		select {
		case running.failed <- err:
		default:
		}
	})
}

func (running *running) serve(server *http.Server, listener net.Listener) {
	running.startTask(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		return server.Serve(listener)
	})
}

// recallTargets restores the announcements that the targets of this host made to
// an earlier run of this daemon, as far as the store has them, and returns them. It must
// finish before new announcements are accepted.
func (daemon *Daemon) recallTargets(ctx context.Context) []announced.Record {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	for ctx.Err() == nil {
		value, err := daemon.registry.Targets(ctx)
		if err != nil {
			task.Sleep(ctx, minStoreBackoff)
			continue
		}
		if value == nil {
			return nil
		}
		records := daemon.decodeTargets(value)
		daemon.local.Restore(records)
		return records
	}
	daemon.log.Warn().Str("event", "targets-not-recalled").Send()
	return nil
}

// dial opens links to all known hosts, and reopens lost ones.
func (running *running) dial(ctx context.Context) error {
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	for {
		for _, host := range running.daemon.view.hostsToDial() {
			running.dialOne(ctx, host)
		}
		select {
		case <-ctx.Done():
			<-running.dials.Ended()
			return ctx.Err()
		case <-ticker.C:
		case <-running.daemon.dialWakeup:
		}
	}
}

func (running *running) dialOne(ctx context.Context, host balsamproxy.HostID) {
	running.dials.Start(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return running.daemon.pool.Dial(ctx, host)
	}, nil)
}

// fetchConfigs fetches the configuration of peers that have announced a newer one.
func (running *running) fetchConfigs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case host := <-running.daemon.fetches:
			running.daemon.follower.fetch(ctx, running.daemon.pool, host)
		}
	}
}

// shutDown stops the daemon gracefully: it announces the shutdown, keeps serving
// until callers and peers have had time to notice, refuses the requests that no
// target has yet, and then waits for those in progress.
func (running *running) shutDown(callers net.Listener) {
	daemon := running.daemon
	plan := shutdown.Plan{Begin: time.Now(), Grace: time.Duration(daemon.settings.ShutdownGrace)}
	ctx, cancel := context.WithDeadline(running.context, plan.Finish())
	defer cancel()
	daemon.leaving.Store(true)
	daemon.log.Info().Str("event", "stopping").Int64("under-way", daemon.callers.InFlight()).Send()
	daemon.callers.Drain()
	// The store may not respond, and the other steps do not depend on it.
	left := task.Start(ctx, func(ctx context.Context) error {
		daemon.registry.Leave(ctx)
		return nil
	})
	task.Sleep(ctx, time.Until(plan.LeavePeers()))
	daemon.closing.Store(true)
	daemon.peerServer.Leave()
	daemon.announce()
	task.Sleep(ctx, peerNoticePeriod)
	finished := daemon.peerServer.RefuseCalls()
	task.Sleep(ctx, time.Until(plan.LastSend()))
	recalled := daemon.entry.RecallRequests(plan)
	daemon.log.Info().Str("event", "requests-recalled").Int("requests", recalled).Send()
	daemon.peerServer.RecallCalls()
	daemon.callers.StopAccepting(callers)
	daemon.callers.CloseIdle(plan.CloseIdle())
	running.waitCallers(ctx)
	select {
	case <-finished:
	case <-ctx.Done():
		daemon.log.Warn().Str("event", "calls-given-up").Send()
	}
	if slices.ContainsFunc(daemon.local.Records(), announced.Record.Leaving) {
		// The lease of the last record may have ended early.
		daemon.recorder.mark()
	}
	if !daemon.recorder.waitLatest(ctx) {
		daemon.log.Warn().Str("event", "targets-unrecorded-at-stop").Send()
	}
	<-left //nolint:errcheck // it has no error, and ends with ctx
	daemon.peerServer.Close()
	daemon.callers.Close()
}

// waitCallers waits until all requests of callers have been answered and their
// connections have ended, or ctx ends.
func (running *running) waitCallers(ctx context.Context) {
	select {
	case <-running.accepting:
	case <-ctx.Done():
		return
	}
	select {
	case <-running.daemon.callers.Done():
	case <-ctx.Done():
		if inFlight := running.daemon.callers.InFlight(); inFlight > 0 {
			running.daemon.log.Warn().Str("event", "requests-given-up").Int64("under-way", inFlight).Send()
		}
	}
}
