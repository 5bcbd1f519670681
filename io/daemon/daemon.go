// Package daemon assembles the components of a daemon and runs them.
package daemon

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"balsamproxy/core/config"
	"balsamproxy/core/inflight"
	"balsamproxy/core/membership"
	"balsamproxy/core/memory"
	"balsamproxy/core/retry"
	"balsamproxy/core/settings"
	corestanding "balsamproxy/core/standing"
	"balsamproxy/io/allowance"
	"balsamproxy/io/caller"
	"balsamproxy/io/certificate"
	"balsamproxy/io/etcd"
	"balsamproxy/io/events"
	"balsamproxy/io/fleet"
	"balsamproxy/io/goruntime"
	"balsamproxy/io/operator"
	"balsamproxy/io/orders"
	"balsamproxy/io/peer"
	"balsamproxy/io/standing"
	"balsamproxy/io/store"
	"balsamproxy/io/target"
)

const (
	metricsInterval      = time.Second
	targetExpiryInterval = time.Second
)

// Daemon is the daemon of one host, created by New.
type Daemon struct {
	settings      settings.Settings
	log           zerolog.Logger
	metrics       tally.Scope
	metricsCloser interface{ Close() error }

	// memory bounds what callers and calls hold, evictions logs what is given up.
	memory    *memory.Budget
	evictions *events.Log

	current      config.Current
	members      membership.Table
	parents      inflight.Table
	retryLimiter retry.Limiter
	standing     corestanding.Standing
	store        *etcd.Client
	incarnation  string

	carrier    *target.Forwarder
	pool       *peer.Pool
	peerServer *peer.Server
	dispatch   *fleet.Dispatcher
	callers    *caller.Handler
	targets    *target.Handler
	operators  *operator.Handler
	registrar  *store.Registrar
	follower   *store.MemberFollower
	documents  *store.Documents
	keeper     *standing.Monitor
	roster     *standing.RosterManager
	homes      *standing.HomesManager
	spender    *allowance.Spender
	orders     *orders.Guard

	identities identities
	leaving    atomic.Bool
}

// identities are the TLS identities by listener. A nil one means plain text.
type identities struct {
	peer     *certificate.Files
	caller   *certificate.Files
	operator *certificate.Files
}

// New returns a daemon for settings that have been validated. It loads the
// certificate files but opens no sockets.
func New(settings settings.Settings, log zerolog.Logger) (*Daemon, error) {
	daemon := &Daemon{settings: settings, log: log, memory: settings.Budget()}
	daemon.evictions = &events.Log{Logger: log, Now: time.Now}
	goruntime.LimitMemory(settings.MemoryMB)
	if err := daemon.loadIdentities(); err != nil {
		return nil, err
	}
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			log.Error().Err(err).Msg("cannot register metric")
		},
	})
	options := tally.ScopeOptions{
		Prefix:         "balsamproxy",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}
	daemon.metrics, daemon.metricsCloser = tally.NewRootScope(options, metricsInterval)
	daemon.wireStore()
	daemon.wireTransport()
	daemon.wireSharedDocuments()
	daemon.wireRequestPath()
	daemon.wireOperators(reporter.HTTPHandler())
	return daemon, nil
}

func (daemon *Daemon) loadIdentities() error {
	for _, file := range []struct {
		names       settings.Certificate
		destination **certificate.Files
	}{
		{daemon.settings.PeerTLS, &daemon.identities.peer},
		{daemon.settings.CallerTLS, &daemon.identities.caller},
		{daemon.settings.OperatorTLS, &daemon.identities.operator},
	} {
		if file.names.Empty() {
			continue
		}
		opened, err := certificate.Open(file.names)
		if err != nil {
			return err
		}
		*file.destination = opened
	}
	return nil
}

func (daemon *Daemon) ready() (bool, string) {
	if daemon.leaving.Load() {
		return false, "shutting down"
	}
	if daemon.current.Index() == nil {
		return false, "no configuration yet"
	}
	if _, published := daemon.members.Member(daemon.settings.Host); !published {
		return false, "not in the list of members yet"
	}
	if !daemon.standing.Has(time.Now()) {
		return false, "no standing: neither the store nor enough peers answer"
	}
	return true, ""
}

// Run serves until ctx ends, then shuts down gracefully. It returns an error if a
// listener cannot be opened or a background task fails.
func (daemon *Daemon) Run(ctx context.Context) error {
	listeners, err := daemon.listen()
	if err != nil {
		return err
	}
	running := start(context.WithoutCancel(ctx), daemon, listeners)
	daemon.log.Info().Str("callers", daemon.settings.CallerAddress).Msg("daemon started")
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-running.failed:
		daemon.log.Error().Err(failed).Msg("background task failed")
	}
	daemon.log.Info().Msg("shutting down")
	running.shutDown()
	daemon.log.Info().Msg("daemon stopped")
	return errors.Join(failed, daemon.metricsCloser.Close())
}

// listeners holds the listening sockets of a daemon.
type listeners struct {
	callers, targets, peers, operators net.Listener
}

func (daemon *Daemon) listen() (listeners, error) {
	var opened listeners
	for _, listener := range []struct {
		address     string
		destination *net.Listener
	}{
		{daemon.settings.CallerAddress, &opened.callers},
		{daemon.settings.TargetAddress, &opened.targets},
		{daemon.settings.PeerAddress, &opened.peers},
		{daemon.settings.OperatorAddress, &opened.operators},
	} {
		socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", listener.address)
		if err != nil {
			return opened, eris.Wrap(err, "daemon: cannot open listener")
		}
		*listener.destination = socket
	}
	return opened, nil
}
