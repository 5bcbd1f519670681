// Package daemon wires the parts of one daemon and runs them.
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
	"balsamproxy/core/retry"
	"balsamproxy/core/settings"
	corestanding "balsamproxy/core/standing"
	"balsamproxy/io/allowance"
	"balsamproxy/io/caller"
	"balsamproxy/io/certificate"
	"balsamproxy/io/etcd"
	"balsamproxy/io/fleet"
	"balsamproxy/io/operator"
	"balsamproxy/io/orders"
	"balsamproxy/io/peer"
	"balsamproxy/io/standing"
	"balsamproxy/io/store"
	"balsamproxy/io/target"
)

const (
	metricsInterval = time.Second
	expireInterval  = time.Second
)

// Daemon is one daemon. New returns one that is ready to run.
type Daemon struct {
	settings settings.Settings
	log      zerolog.Logger
	metrics  tally.Scope
	closer   interface{ Close() error }

	current     config.Current
	members     membership.Table
	parents     inflight.Table
	ledger      retry.Limiter
	standing    corestanding.Standing
	store       *etcd.Client
	incarnation string

	carrier   *target.Forwarder
	pool      *peer.Pool
	links     *peer.Server
	dispatch  *fleet.Dispatcher
	callers   *caller.Handler
	targets   *target.Handler
	operators *operator.Handler
	registrar *store.Registrar
	follower  *store.MemberFollower
	documents *store.Documents
	keeper    *standing.Keeper
	roster    *standing.RosterKeeper
	homes     *standing.HomesKeeper
	spender   *allowance.Spender
	orders    *orders.Guard

	files   identities
	leaving atomic.Bool
}

// identities are the TLS identities; nil means plain.
type identities struct {
	peer     *certificate.Files
	caller   *certificate.Files
	operator *certificate.Files
}

// New returns a daemon with checked settings. It opens the certificate files
// but no socket.
func New(settings settings.Settings, log zerolog.Logger) (*Daemon, error) {
	daemon := &Daemon{settings: settings, log: log}
	if err := daemon.openFiles(); err != nil {
		return nil, err
	}
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			log.Error().Err(err).Msg("metric not registered")
		},
	})
	options := tally.ScopeOptions{
		Prefix:         "balsamproxy",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}
	daemon.metrics, daemon.closer = tally.NewRootScope(options, metricsInterval)
	daemon.wireStore()
	daemon.wireLinks()
	daemon.wireShared()
	daemon.wireCalls()
	daemon.wireOperators(reporter.HTTPHandler())
	return daemon, nil
}

func (daemon *Daemon) openFiles() error {
	for _, file := range []struct {
		names settings.Certificate
		place **certificate.Files
	}{
		{daemon.settings.PeerTLS, &daemon.files.peer},
		{daemon.settings.CallerTLS, &daemon.files.caller},
		{daemon.settings.OperatorTLS, &daemon.files.operator},
	} {
		if file.names.Empty() {
			continue
		}
		opened, err := certificate.Open(file.names)
		if err != nil {
			return err
		}
		*file.place = opened
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

// Run serves until ctx ends, then shuts down gracefully. It fails if a
// listener cannot be opened or breaks.
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
		daemon.log.Error().Err(failed).Msg("part of the daemon failed")
	}
	daemon.log.Info().Msg("shutting down")
	running.shutDown()
	daemon.log.Info().Msg("daemon ended")
	return errors.Join(failed, daemon.closer.Close())
}

// listeners are the open sockets of a daemon.
type listeners struct {
	callers, targets, peers, operators net.Listener
}

func (daemon *Daemon) listen() (listeners, error) {
	var opened listeners
	for _, listener := range []struct {
		address string
		place   *net.Listener
	}{
		{daemon.settings.CallerAddress, &opened.callers},
		{daemon.settings.TargetAddress, &opened.targets},
		{daemon.settings.PeerAddress, &opened.peers},
		{daemon.settings.OperatorAddress, &opened.operators},
	} {
		socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", listener.address)
		if err != nil {
			return opened, eris.Wrap(err, "daemon: cannot listen")
		}
		*listener.place = socket
	}
	return opened, nil
}
