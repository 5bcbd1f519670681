// Package mesh runs the daemon of one host on the platform: it wires the way
// of a request, the records in the store and the links to other daemons.
package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/announced"
	"balsamproxy/core/budget"
	"balsamproxy/core/config"
	"balsamproxy/core/evidence"
	"balsamproxy/core/membership"
	"balsamproxy/core/placement"
	"balsamproxy/core/settings"
	"balsamproxy/io/entry"
	"balsamproxy/io/events"
	"balsamproxy/io/fleet"
	"balsamproxy/io/http1"
	"balsamproxy/io/lending"
	"balsamproxy/io/peer"
	"balsamproxy/io/registry"
	"balsamproxy/io/target"
	"balsamproxy/task"
)

const (
	// metricsInterval is the time between two updates of the metrics; they
	// are usually fetched less often.
	metricsInterval = 5 * time.Second
	// freshTime is how long after its first start a fleet may lend whole
	// bursts.
	freshTime = 6 * time.Second
	// memoryParts and memoryDivisor give the part of the memory at which the
	// runtime collects garbage more often.
	memoryParts   = 7
	memoryDivisor = 10
	// repeatPart is the part of the fleet's ratio of repeats that is spent
	// on repeats of whole requests; the rest is left for their calls.
	repeatPart = 0.4
	// slackPart is the part of the fleet's slack that daemons may save up.
	slackPart = 0.5
)

// Platform is what the daemon is told of the platform that it runs on.
type Platform struct {
	Store   registry.Store
	Dialect balsamproxy.Dialect
	// ConfigKey is where the configuration stands, and Decode reads it.
	ConfigKey balsamproxy.StoreKey
	Decode    Decode
	// Announcements returns the handler of targets' announcements.
	Announcements func(target *target.Local) http.Handler
	// ReadyPath is where the platform asks whether the daemon is ready.
	ReadyPath string
}

// Daemon is one daemon. New returns one that is ready to run.
type Daemon struct {
	settings    settings.Mesh
	platform    Platform
	log         zerolog.Logger
	metrics     tally.Scope
	closer      interface{ Close() error }
	handler     http.Handler
	incarnation string
	clock       balsamproxy.SystemClock

	current   config.Current
	evidence  evidence.Evidence
	table     membership.Table
	budget    budget.Budget
	view      *view
	local     *target.Local
	links     *peer.Server
	pool      *peer.Pool
	registry  *registry.Registry
	spender   *lending.Spender
	documents *documents
	callers   *http1.Server

	crashes crashes
	service atomic.Pointer[balsamproxy.ServiceID]
	// leaving is set when the daemon stops, and closing when it takes no more
	// calls of peers.
	leaving  atomic.Bool
	closing  atomic.Bool
	wakeDial chan struct{}
	// wakeAnnounce is signalled when peers should be told of a change.
	wakeAnnounce chan struct{}
	fetches      chan balsamproxy.HostID
}

// NewMetrics returns a scope with the handler that serves it.
func NewMetrics(log zerolog.Logger) (tally.Scope, interface{ Close() error }, http.Handler) {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			log.Error().Str("event", "metric-not-registered").Err(err).Send()
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "balsamproxy",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, metricsInterval)
	return scope, closer, reporter.HTTPHandler()
}

// New returns a daemon with checked settings.
func New(settings settings.Mesh, log zerolog.Logger, platform func(tally.Scope) Platform) *Daemon {
	daemon := &Daemon{
		settings:    settings,
		log:         log,
		incarnation: string(fleet.IDs{}.NewSpan()),
		wakeDial:    make(chan struct{}, 1),

		wakeAnnounce: make(chan struct{}, 1),
		fetches:      make(chan balsamproxy.HostID, 1),
	}
	daemon.metrics, daemon.closer, daemon.handler = NewMetrics(log)
	daemon.platform = platform(daemon.metrics)
	daemon.service.Store(&settings.Service)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * memoryParts / memoryDivisor)
	}
	daemon.evidence.MaxAge = evidence.MaxAgeFor(time.Duration(settings.WithdrawalBound))
	daemon.budget.Ratio = settings.RepeatRatio * repeatPart
	daemon.budget.SetMax(settings.RepeatSlack * slackPart)
	daemon.crashes.changed = daemon.announce
	daemon.view = newView(settings.Host, settings.DataCentre, &daemon.table, log, time.Now)
	daemon.wirePeers()
	daemon.wireStore()
	daemon.wireWay()
	return daemon
}

func (daemon *Daemon) wirePeers() {
	daemon.local = &target.Local{
		Clock:   daemon.clock,
		Dialect: daemon.platform.Dialect,
		Changed: daemon.announce,
		Record:  daemon.recordTargets,
		Log:     daemon.log,
		Metrics: daemon.metrics,
	}
	daemon.links = &peer.Server{Local: daemon.local, Status: daemon.status, OnStatus: daemon.greeted}
	daemon.pool = &peer.Pool{
		Host:           daemon.settings.Host,
		Directory:      daemon.view,
		LocalStatus:    daemon.status,
		OnStatus:       daemon.learned,
		OnLinkLost:     daemon.lost,
		OnHostMismatch: daemon.view.misplace,
		ShouldCompress: daemon.view.isFar,
		Metrics:        daemon.metrics,
	}
}

func (daemon *Daemon) wireStore() {
	daemon.registry = &registry.Registry{
		Store:       daemon.platform.Store,
		Prefix:      balsamproxy.StoreKey(daemon.settings.StorePrefix),
		Host:        daemon.settings.Host,
		Incarnation: daemon.incarnation,
		Clock:       daemon.clock,
		Record: func() balsamproxy.Member {
			return balsamproxy.Member{
				Host:        daemon.settings.Host,
				DataCentre:  daemon.settings.DataCentre,
				PeerAddress: daemon.settings.PeerAddress,
				Incarnation: daemon.incarnation,
			}
		},
		Present: daemon.view.present,
		MembersRead: func(members []balsamproxy.Member) {
			daemon.view.list(members)
			daemon.budget.SetMax(max(1, daemon.settings.RepeatSlack*slackPart/float64(max(len(members), 1))))
			daemon.dialSoon()
		},
		HomesChanged: daemon.announce,
		AskPromise:   daemon.askPromise,
		Close:        func(term allowance.Term) allowance.Floors { return daemon.spender.Close(term) },
		Log:          daemon.log,
	}
	daemon.documents = &documents{
		store:    daemon.platform.Store,
		reader:   daemon.platform.Store,
		key:      daemon.platform.ConfigKey,
		decode:   daemon.platform.Decode,
		current:  &daemon.current,
		evidence: &daemon.evidence,
		clock:    daemon.clock,
		changed:  daemon.announce,
		log:      daemon.log,
	}
	daemon.servePromises(daemon.links)
	daemon.documents.serve(daemon.links)
	daemon.documents.relay = &relay{documents: daemon.documents, pool: daemon.pool, view: daemon.view}
	daemon.documents.relay.serve(daemon.links)
	daemon.spender = &lending.Spender{
		Host:    daemon.settings.Host,
		Config:  &daemon.current,
		Homes:   homes{daemon: daemon},
		Pool:    daemon.pool,
		Clock:   daemon.clock,
		Metrics: daemon.metrics,
		Log:     daemon.log,
	}
	daemon.spender.Loans.Borrower = allowance.Borrower{Host: daemon.settings.Host, Incarnation: daemon.incarnation}
	if daemon.settings.FirstStart {
		daemon.spender.NewFleetUntil = daemon.clock.Boot() + balsamproxy.BootTime(freshTime)
	}
	daemon.spender.Serve(daemon.links)
}

func (daemon *Daemon) wireWay() {
	way := &entry.Entry{
		Host:      daemon.settings.Host,
		Service:   func() balsamproxy.ServiceID { return *daemon.service.Load() },
		Dialect:   daemon.platform.Dialect,
		Config:    &daemon.current,
		Evidence:  &daemon.evidence,
		Allowance: daemon.spender,
		Members:   &daemon.table,
		Chooser:   &placement.Chooser{DataCentre: daemon.settings.DataCentre},
		Split:     &placement.Split{},
		Budget:    &daemon.budget,
		Local:     daemon.local,
		Remote:    daemon.pool,
		Clock:     daemon.clock,
		Boot:      daemon.clock,
		Random:    rand.Float64,
		Events:    &events.Log{Logger: daemon.log, Now: time.Now},
		Metrics:   daemon.metrics,

		CallFailed: daemon.local.CallFailed,
		Crashes:    &daemon.crashes,
	}
	daemon.callers = &http1.Server{Handler: way}
}

// status is what peers are told of this daemon.
func (daemon *Daemon) status() balsamproxy.Status {
	return balsamproxy.Status{
		Host:        daemon.settings.Host,
		DataCentre:  daemon.settings.DataCentre,
		Incarnation: daemon.incarnation,
		PeerAddress: daemon.settings.PeerAddress,
		Leaving:     daemon.closing.Load(),
		Stopping:    daemon.leaving.Load() || !daemon.registry.StoreReachable(),
		Targets:     daemon.local.Targets(),
		Config:      daemon.documents.version(),
		Homes:       daemon.registry.Held(),
		Backups:     daemon.registry.Backups(),
		Crashes:     daemon.crashes.told(daemon.clock.Now()),
	}
}

// recordTargets writes down what the targets of this host said, before that
// is acknowledged to them if the store answers in time.
func (daemon *Daemon) recordTargets(records []announced.Record) {
	value, err := json.Marshal(records)
	if err == nil {
		err = daemon.registry.RecordTargets(context.Background(), value)
	}
	if err != nil {
		daemon.log.Warn().Str("event", "targets-not-recorded").Err(err).Send()
	}
}

// announcePause is the least time between two announcements to peers, so that
// many changes at once make one message.
const announcePause = 40 * time.Millisecond

// announce tells this daemon's own table what has changed, and soon all peers.
func (daemon *Daemon) announce() {
	daemon.view.own(daemon.status())
	select {
	case daemon.wakeAnnounce <- struct{}{}:
	default:
	}
}

// runAnnounce tells peers what has changed until ctx ends.
func (daemon *Daemon) runAnnounce(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-daemon.wakeAnnounce:
			daemon.links.BroadcastStatus()
			task.Sleep(ctx, announcePause)
		}
	}
}

func (daemon *Daemon) greeted(status balsamproxy.Status) {
	daemon.view.greet(status)
	daemon.dialSoon()
}

func (daemon *Daemon) learned(status balsamproxy.Status) {
	daemon.view.learn(status)
	daemon.crashes.learn(status.Crashes, daemon.clock.Now())
	daemon.registry.ApplyStatus(status)
	if status.Config > daemon.documents.version() {
		select {
		case daemon.fetches <- status.Host:
		default:
		}
	}
}

func (daemon *Daemon) lost(host balsamproxy.HostID) {
	daemon.view.lose(host)
	daemon.dialSoon()
}

func (daemon *Daemon) dialSoon() {
	select {
	case daemon.wakeDial <- struct{}{}:
	default:
	}
}

// ready says whether callers may send work, or why not.
func (daemon *Daemon) ready() (bool, string) {
	switch {
	case daemon.leaving.Load():
		return false, "shutting down"
	case daemon.current.Index() == nil:
		return false, "no configuration yet"
	}
	return true, ""
}

func (daemon *Daemon) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+daemon.platform.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if ready, why := daemon.ready(); !ready {
			http.Error(writer, why, http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (daemon *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", daemon.handler)
	return mux
}

// listen opens a socket for each address.
func listen(addresses ...string) ([]net.Listener, error) {
	var opened []net.Listener
	for _, address := range addresses {
		socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			for _, other := range opened {
				err = errors.Join(err, other.Close())
			}
			return nil, eris.Wrap(err, "mesh: cannot listen")
		}
		opened = append(opened, socket)
	}
	return opened, nil
}
