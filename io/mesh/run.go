package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"balsamproxy"
	"balsamproxy/core/announced"
	"balsamproxy/core/settings"
	"balsamproxy/task"
)

const (
	// dialInterval is the time between two rounds of dials.
	dialInterval = 250 * time.Millisecond
	dialTimeout  = 1200 * time.Millisecond
	// recallWait bounds how long a daemon that starts waits for the record of
	// its targets.
	recallWait = 2 * time.Second
	// servePart is the part of the grace in which calls of other daemons are
	// taken as before: the targets of this host have not left.
	servePart = 0.2
	// noticeTime is how long peers then have to learn that this daemon leaves.
	noticeTime = 200 * time.Millisecond
	// acceptPart is the part of the grace in which new connections are taken:
	// callers are asked elsewhere after two questions, a second apart, that
	// found the daemon not ready.
	acceptPart = 0.4
	// finishPart is the part of the grace after which what still runs is
	// given up.
	finishPart = 0.94
	// endMax bounds the wait for the parts of the daemon after that.
	endMax    = 150 * time.Millisecond
	quietPoll = 20 * time.Millisecond
	// headerTimeout bounds the header of a request to a small server.
	headerTimeout = 2 * time.Second
)

// running is a daemon whose parts have been started.
type running struct {
	daemon  *Daemon
	context context.Context
	parts   task.Group
	dials   task.Group
	failed  chan error
}

// Run serves until ctx ends, then shuts down gracefully. Reloads are settings
// that have changed.
func (daemon *Daemon) Run(ctx context.Context, reloads <-chan settings.Mesh) error {
	addresses := []string{daemon.settings.CallerAddress, daemon.settings.PeerAddress, daemon.settings.TargetAddress, daemon.settings.ReadyAddress}
	if daemon.settings.MetricsAddress != "" {
		addresses = append(addresses, daemon.settings.MetricsAddress)
	}
	sockets, err := listen(addresses...)
	if err != nil {
		return err
	}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	running := &running{daemon: daemon, context: inner, failed: make(chan error, 1)}
	running.start(sockets)
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
	running.shutDown(sockets[0])
	stop()
	select {
	case <-running.parts.Ended():
	case <-time.After(endMax):
		daemon.log.Warn().Str("event", "parts-still-running").Send()
	}
	daemon.log.Info().Str("event", "ended").Send()
	return errors.Join(failed, daemon.closer.Close())
}

// reload takes what may change while the daemon runs.
func (daemon *Daemon) reload(changed settings.Mesh) {
	daemon.service.Store(&changed.Service)
	daemon.log.Info().Str("event", "reloaded").Str("service", string(changed.Service)).Send()
}

func (running *running) start(sockets []net.Listener) {
	daemon := running.daemon
	running.startPart(daemon.pool.Run)
	running.startPart(daemon.documents.run)
	running.startPart(daemon.registry.Run)
	running.startPart(daemon.registry.RunLists)
	running.startPart(daemon.registry.RunLeases)
	running.startPart(daemon.spender.RunFloors)
	running.startPart(daemon.local.Run)
	running.startPart(daemon.runAnnounce)
	running.startPart(running.dial)
	running.startPart(running.fetch)
	running.startPart(func(ctx context.Context) error { return daemon.callers.Serve(ctx, sockets[0]) })
	running.serve(daemon.links.HTTPServer(), sockets[1])
	running.startPart(func(ctx context.Context) error {
		daemon.recallTargets(ctx)
		running.serve(newServer(daemon.platform.Announcements(daemon.local)), sockets[2])
		return nil
	})
	running.serve(newServer(daemon.readyHandler()), sockets[3])
	if len(sockets) > 4 {
		running.serve(newServer(daemon.metricsHandler()), sockets[4])
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
}

func (running *running) startPart(part func(context.Context) error) {
	running.parts.Start(running.context, part, func(err error) {
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

func (running *running) serve(server *http.Server, socket net.Listener) {
	running.startPart(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		return server.Serve(socket)
	})
}

// recallTargets learns what the targets of this host said to an earlier run of
// this daemon, before any announcement is taken.
func (daemon *Daemon) recallTargets(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recallWait)
	defer cancel()
	for ctx.Err() == nil {
		value, err := daemon.registry.Targets(ctx)
		if err != nil {
			task.Sleep(ctx, storePauseMin)
			continue
		}
		if value == nil {
			return
		}
		var records []announced.Record
		if err := json.Unmarshal(value, &records); err != nil {
			daemon.log.Error().Str("event", "record-invalid").Str("record", "targets").Err(err).Send()
			return
		}
		daemon.local.Restore(records)
		return
	}
	daemon.log.Warn().Str("event", "targets-not-recalled").Send()
}

// dial opens links to all hosts that are known.
func (running *running) dial(ctx context.Context) error {
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	for {
		for _, host := range running.daemon.view.wanted() {
			running.dialOne(ctx, host)
		}
		select {
		case <-ctx.Done():
			<-running.dials.Ended()
			return ctx.Err()
		case <-ticker.C:
		case <-running.daemon.wakeDial:
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

// fetch takes configurations of peers that have a later one.
func (running *running) fetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case host := <-running.daemon.fetches:
			running.daemon.documents.fetch(ctx, running.daemon.pool, host)
		}
	}
}

// shutDown ends the daemon without cutting a request: it says that it leaves,
// goes on serving until callers and peers know, and lets what runs finish.
func (running *running) shutDown(callers net.Listener) {
	daemon := running.daemon
	grace := time.Duration(daemon.settings.ShutdownGrace)
	began := time.Now()
	ctx, cancel := context.WithDeadline(running.context, began.Add(time.Duration(float64(grace)*finishPart)))
	defer cancel()
	daemon.leaving.Store(true)
	daemon.log.Info().Str("event", "stopping").Int64("under-way", daemon.callers.InFlight()).Send()
	daemon.callers.Drain()
	daemon.registry.Leave(ctx)
	task.Sleep(ctx, time.Until(began.Add(time.Duration(float64(grace)*servePart))))
	daemon.closing.Store(true)
	daemon.links.Leave()
	daemon.announce()
	task.Sleep(ctx, noticeTime)
	finished := daemon.links.Refuse()
	task.Sleep(ctx, time.Until(began.Add(time.Duration(float64(grace)*acceptPart))))
	_ = callers.Close()
	daemon.callers.CloseIdle()
	running.waitQuiet(ctx)
	select {
	case <-finished:
	case <-ctx.Done():
		daemon.log.Warn().Str("event", "calls-given-up").Send()
	}
	daemon.links.Close()
	daemon.callers.Close()
}

// waitQuiet waits until all callers have their answers.
func (running *running) waitQuiet(ctx context.Context) {
	for running.daemon.callers.InFlight() > 0 {
		if ctx.Err() != nil {
			running.daemon.log.Warn().Str("event", "requests-given-up").
				Int64("under-way", running.daemon.callers.InFlight()).Send()
			return
		}
		task.Sleep(ctx, quietPoll)
	}
}
