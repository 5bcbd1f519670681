package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"balsamproxy/io/certificate"
	"balsamproxy/task"
)

const (
	// noticeTime is how long peers have to learn that this daemon leaves
	// before it refuses new calls.
	noticeTime = 500 * time.Millisecond
	// callerNotice is how long callers have to learn it before the listener
	// closes.
	callerNotice = 2 * time.Second
)

// running is a daemon whose parts have been started.
type running struct {
	daemon  *Daemon
	context context.Context
	stop    context.CancelFunc
	parts   task.Group
	failed  chan error

	listeners                          listeners
	callers, targets, peers, operators *http.Server
}

func start(ctx context.Context, daemon *Daemon, listeners listeners) *running {
	ctx, stop := context.WithCancel(ctx)
	running := &running{
		daemon:    daemon,
		context:   ctx,
		stop:      stop,
		failed:    make(chan error, 1),
		listeners: listeners,
		callers:   daemon.callers.Server(),
		targets:   daemon.targets.Server(),
		peers:     daemon.links.HTTPServer(),
		operators: daemon.operators.Server(),
	}
	running.start(daemon.pool.Run)
	running.start(daemon.follower.Run)
	running.start(daemon.documents.Run)
	running.start(daemon.registrar.Run)
	running.start(daemon.keeper.Run)
	running.start(daemon.roster.Run)
	running.start(daemon.homes.Run)
	running.start(daemon.spender.Run)
	running.start(daemon.expireTargets)
	running.serve(running.callers, listeners.callers, daemon.files.caller)
	running.serve(running.targets, listeners.targets, nil)
	running.serve(running.peers, listeners.peers, daemon.files.peer)
	running.serve(running.operators, listeners.operators, daemon.files.operator)
	return running
}

// start runs a part of the daemon until the daemon ends.
func (running *running) start(part func(context.Context) error) {
	running.parts.Start(running.context, part, running.report)
}

// report keeps the first failure that is not the end of the daemon.
func (running *running) report(err error) {
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) ||
		running.daemon.leaving.Load() {
		return
	}
	select {
	case running.failed <- err:
	default:
	}
}

func (running *running) serve(server *http.Server, listener net.Listener, files *certificate.Files) {
	running.start(func(context.Context) error {
		if files == nil {
			return server.Serve(listener)
		}
		server.TLSConfig = files.ServerConfig()
		return server.ServeTLS(listener, "", "")
	})
}

func (daemon *Daemon) expireTargets(ctx context.Context) error {
	return task.Every(ctx, expireInterval, func(_ context.Context, now time.Time) {
		daemon.carrier.Expire(now)
	})
}

// shutDown ends the daemon without cutting a request: it says that it leaves,
// serves on until others know, then lets what is under way finish.
func (running *running) shutDown() {
	daemon := running.daemon
	grace, cancel := context.WithTimeout(running.context, daemon.settings.ShutdownGraceDuration())
	defer cancel()
	running.sayLeaving()
	wait(grace, noticeTime)
	finished := daemon.links.Refuse()
	wait(grace, callerNotice-noticeTime)
	running.finishCallers(grace)
	select {
	case <-finished:
	case <-grace.Done():
	}
	_ = running.targets.Shutdown(grace)
	daemon.links.Close()
	running.stop()
	_ = running.peers.Close()
	_ = running.callers.Close()
	_ = running.targets.Close()
	_ = running.operators.Close()
	<-running.parts.Ended()
}

// finishCallers takes no new connections, and ends each of the others after
// the next answer on it. The listener closes first: while it is open, callers
// whose connections end would open new ones, and those that the kernel holds
// when it closes are reset.
func (running *running) finishCallers(grace context.Context) {
	_ = running.listeners.callers.Close()
	running.daemon.callers.Leave()
	running.daemon.callers.WaitIdle(grace)
	_ = running.callers.Shutdown(grace)
}

func (running *running) sayLeaving() {
	daemon := running.daemon
	daemon.leaving.Store(true)
	daemon.members.MarkLeaving(daemon.settings.Host)
	daemon.registrar.Publish()
	daemon.links.Leave()
}

func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
