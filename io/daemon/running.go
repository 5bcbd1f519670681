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
	// peerNoticePeriod is the time between the announcement of the shutdown and
	// the moment when this daemon starts to reject new calls of peers.
	peerNoticePeriod = 500 * time.Millisecond
	// callerNoticePeriod is the time between the announcement of the shutdown
	// and the close of the callers' listener.
	callerNoticePeriod = 2 * time.Second
	// sendFraction is the fraction of the grace after which requests that no target has
	// received are refused. The rest is left for the responses.
	sendFraction = 0.5
)

// running is a started daemon.
type running struct {
	daemon  *Daemon
	context context.Context
	stop    context.CancelFunc
	tasks   task.Group
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
		peers:     daemon.peerServer.HTTPServer(),
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
	running.start(daemon.watchLimits)
	running.serve(running.callers, daemon.callers.Limit(listeners.callers), daemon.identities.caller)
	running.serve(running.targets, listeners.targets, nil)
	running.serve(running.peers, listeners.peers, daemon.identities.peer)
	running.serve(running.operators, listeners.operators, daemon.identities.operator)
	return running
}

// start runs a background task until the daemon stops.
func (running *running) start(run func(context.Context) error) {
	running.tasks.Start(running.context, run, running.reportFailure)
}

// reportFailure records the first error of a task that is not caused by the
// shutdown.
func (running *running) reportFailure(err error) {
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
	return task.Every(ctx, targetExpiryInterval, func(_ context.Context, now time.Time) {
		daemon.carrier.Expire(now)
	})
}

// shutDown stops the daemon gracefully: it announces the shutdown, keeps serving
// until peers and callers have had time to notice, then waits for requests in
// progress.
func (running *running) shutDown() {
	daemon := running.daemon
	grace, cancel := context.WithTimeout(running.context, daemon.settings.ShutdownGraceDuration())
	defer cancel()
	running.announceShutdown()
	recalled := task.Start(grace, running.recallRequests)
	sleep(grace, peerNoticePeriod)
	finished := daemon.peerServer.RefuseCalls()
	sleep(grace, callerNoticePeriod-peerNoticePeriod)
	running.drainCallers(grace)
	select {
	case <-finished:
	case <-grace.Done():
	}
	_ = running.targets.Shutdown(grace)
	cancel()
	<-recalled //nolint:errcheck // it has no error
	daemon.peerServer.Close()
	running.stop()
	_ = running.peers.Close()
	_ = running.callers.Close()
	_ = running.targets.Close()
	_ = running.operators.Close()
	<-running.tasks.Ended()
}

// recallRequests refuses the requests that no target has received by sendFraction of the
// grace, because they could not be answered before its end.
func (running *running) recallRequests(ctx context.Context) error {
	if task.Sleep(ctx, time.Duration(float64(running.daemon.settings.ShutdownGraceDuration())*sendFraction)) {
		running.daemon.callers.RecallRequests()
		running.daemon.peerServer.RecallCalls()
	}
	return nil
}

// drainCallers stops accepting connections and closes each open one after its
// next response. The listener is closed first: while it is open, callers whose
// connections are closed would reconnect, and connections still in the accept
// queue when it closes are reset.
func (running *running) drainCallers(grace context.Context) {
	_ = running.listeners.callers.Close()
	running.daemon.callers.Leave()
	running.daemon.callers.WaitIdle(grace)
	_ = running.callers.Shutdown(grace)
}

func (running *running) announceShutdown() {
	daemon := running.daemon
	daemon.leaving.Store(true)
	daemon.members.MarkLeaving(daemon.settings.Host)
	daemon.registrar.Publish()
	daemon.peerServer.Leave()
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
