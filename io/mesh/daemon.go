// Package mesh implements the daemon that runs on each host of the platform. It
// connects the request path, the records in the store and the links to other
// daemons.
package mesh

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/budget"
	"balsamproxy/core/callcost"
	"balsamproxy/core/config"
	"balsamproxy/core/evacuation"
	"balsamproxy/core/evidence"
	"balsamproxy/core/membership"
	"balsamproxy/core/memory"
	"balsamproxy/core/placement"
	"balsamproxy/core/pricing"
	"balsamproxy/core/settings"
	"balsamproxy/core/throttle"
	"balsamproxy/io/entry"
	"balsamproxy/io/events"
	"balsamproxy/io/fleet"
	"balsamproxy/io/goruntime"
	"balsamproxy/io/http1"
	"balsamproxy/io/lending"
	"balsamproxy/io/peer"
	"balsamproxy/io/registry"
	"balsamproxy/io/target"
)

const (
	// metricsInterval is the time between two updates of the metrics. They are
	// usually scraped less often.
	metricsInterval = 5 * time.Second
	// fleetStartWindow is how long after the first start of a fleet full bursts
	// may be lent, because none of the allowance can have been spent before.
	fleetStartWindow = 6 * time.Second
	// requestRetryShare is the fraction of the fleet's retry ratio used for
	// retries of requests of callers. The rest is reserved for retries of the
	// calls that they cause.
	requestRetryShare = 0.4
	// retrySlackShare is the fraction of the fleet's retry slack that daemons may
	// accumulate.
	retrySlackShare = 0.5
)

// Platform adapts the daemon to the platform that it runs on.
type Platform struct {
	Store registry.Store
	// Eras reports the era of the store. It may be nil.
	Eras    balsamproxy.StoreEraReporter
	Dialect balsamproxy.Dialect
	// ConfigKey is the store key of the configuration, and Decode parses its
	// value.
	ConfigKey balsamproxy.StoreKey
	Decode    Decode
	// OperatorPrefix is the prefix of ConfigKey and of the keys by which the operator
	// evacuates data centres, which is EvacuationPrefix and the data centre. If both
	// are empty, there are no evacuations.
	OperatorPrefix   balsamproxy.StoreKey
	EvacuationPrefix balsamproxy.StoreKey
	// Announcements returns the HTTP handler for announcements of targets.
	Announcements func(target *target.Local) http.Handler
	// ReadyPath is the path of the platform's readiness probe.
	ReadyPath string
}

// Daemon is the daemon of one host, created by New.
type Daemon struct {
	settings        settings.Mesh
	platform        Platform
	log             zerolog.Logger
	metrics         tally.Scope
	metricsCloser   interface{ Close() error }
	metricsExporter http.Handler
	incarnation     string
	clock           balsamproxy.SystemClock

	current     config.Current
	evacuations evacuation.Table
	evidence    evidence.Evidence
	table       membership.Table
	budget      budget.Budget
	view        *view
	bodies      *memory.Budget
	local       *target.Local
	peerServer  *peer.Server
	pool        *peer.Pool
	registry    *registry.Registry
	spender     *lending.Spender
	follower    *configFollower
	entry       *entry.Entry
	callers     *http1.Server

	// evictions logs what is given up for lack of room.
	evictions *events.Log
	// evictedAnswers counts the responses to peers that were given up.
	evictedAnswers atomic.Int64

	crashes       crashes
	crashExchange crashExchange
	service       atomic.Pointer[balsamproxy.ServiceID]
	// leaving is set when shutdown begins, and closing shortly before the daemon
	// starts to reject calls of peers.
	leaving atomic.Bool
	closing atomic.Bool
	// dialWakeup is signalled when there may be hosts to dial, announceWakeup when
	// there is a status change to send to peers, and laterWakeup when there is one
	// that no peer waits for.
	dialWakeup     chan struct{}
	announceWakeup chan struct{}
	laterWakeup    chan struct{}
	fetches        chan balsamproxy.HostID
	// recorder persists the announcements of the targets, and custody keeps those of
	// other hosts. recollecting holds the peers to be asked for those of this host.
	recorder     recorder
	custody      custody
	recollecting chan balsamproxy.HostID
}

// New returns a daemon for settings that have been validated.
func New(settings settings.Mesh, log zerolog.Logger, platform func(tally.Scope) Platform) *Daemon {
	daemon := &Daemon{
		settings:    settings,
		log:         log,
		incarnation: string(fleet.IDs{}.NewSpan()),
		dialWakeup:  make(chan struct{}, 1),

		announceWakeup: make(chan struct{}, 1),
		laterWakeup:    make(chan struct{}, 1),
		fetches:        make(chan balsamproxy.HostID, 1),
		recollecting:   make(chan balsamproxy.HostID, maxRecollecting),
	}
	daemon.metrics, daemon.metricsCloser, daemon.metricsExporter = NewMetrics(log)
	daemon.platform = platform(daemon.metrics)
	daemon.service.Store(&settings.Service)
	goruntime.LimitMemory(settings.MemoryMB)
	daemon.evidence.MaxAge = evidence.MaxAgeFor(time.Duration(settings.WithdrawalBound))
	daemon.budget.Ratio = settings.RepeatRatio * requestRetryShare
	daemon.budget.SetMax(settings.RepeatSlack * retrySlackShare)
	daemon.crashes.onReport = daemon.announce
	daemon.crashes.metrics, daemon.crashes.log = daemon.metrics, log
	daemon.view = newView(settings.Host, settings.DataCentre, &daemon.table, log, time.Now)
	daemon.bodies = settings.Budget()
	daemon.evictions = &events.Log{Logger: log, Now: time.Now}
	daemon.recorder.write, daemon.recorder.deposit, daemon.recorder.release = daemon.writeTargets, daemon.depositTargets, daemon.releaseTargets
	daemon.recorder.log = log
	daemon.wirePeers()
	daemon.wireStore()
	daemon.wireRequestPath()
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

		WarmUpRate: daemon.warmUpRate,
		Evacuated:  func() bool { return daemon.evacuations.Contains(daemon.settings.DataCentre) },

		Bodies: daemon.bodies,
	}
	daemon.peerServer = &peer.Server{
		Local:    daemon.local,
		Status:   daemon.status,
		OnStatus: daemon.handleGreeting,
		Memory:   daemon.bodies,
		OnEvict:  daemon.reportEvictedAnswer,
	}
	daemon.pool = &peer.Pool{
		Host:           daemon.settings.Host,
		Directory:      daemon.view,
		LocalStatus:    daemon.status,
		OnStatus:       daemon.handleStatus,
		OnLinkLost:     daemon.handleLostPeer,
		OnHostMismatch: daemon.view.markReplaced,
		ShouldCompress: daemon.view.isRemote,
		Metrics:        daemon.metrics,
	}
}

// warmUpRate returns the calls per second that a cold target of a service takes, and
// false while no configuration is in force.
func (daemon *Daemon) warmUpRate(service balsamproxy.ServiceID) (float64, bool) {
	index := daemon.current.Index()
	if index == nil {
		return 0, false
	}
	return index.WarmUpRate(service), true
}

func (daemon *Daemon) wireStore() {
	daemon.registry = &registry.Registry{
		Store:       daemon.platform.Store,
		Prefix:      balsamproxy.StoreKey(daemon.settings.StorePrefix),
		Host:        daemon.settings.Host,
		Incarnation: daemon.incarnation,
		Clock:       daemon.clock,
		FirstStart:  daemon.settings.FirstStart,
		Record: func() balsamproxy.Member {
			return balsamproxy.Member{
				Host:        daemon.settings.Host,
				DataCentre:  daemon.settings.DataCentre,
				PeerAddress: daemon.settings.PeerAddress,
				Incarnation: daemon.incarnation,
			}
		},
		Present: daemon.view.availableHosts,
		Linked:  daemon.view.linkedHosts,
		MembersRead: func(members []balsamproxy.Member) {
			daemon.view.setMembers(members)
			daemon.budget.SetMax(max(1, daemon.settings.RepeatSlack*retrySlackShare/float64(max(len(members), 1))))
			daemon.wakeDialer()
		},
		HomesChanged: daemon.announce,
		StoreReached: daemon.announceLater,
		AskPromise:   daemon.askPromise,
		Close: func(term allowance.Term, since balsamproxy.BootTime) allowance.Remainders {
			return daemon.spender.Close(term, since)
		},
		Log: daemon.log,
	}
	daemon.follower = &configFollower{
		store:  daemon.platform.Store,
		reader: daemon.platform.Store,
		key:    daemon.platform.ConfigKey,

		operatorPrefix:   daemon.platform.OperatorPrefix,
		evacuationPrefix: daemon.platform.EvacuationPrefix,
		evacuations:      &daemon.evacuations,

		decode:   daemon.platform.Decode,
		current:  &daemon.current,
		evidence: &daemon.evidence,
		clock:    daemon.clock,
		onChange: daemon.announce,
		onFirst:  daemon.announceLater,
		log:      daemon.log,
		era:      daemon.era,
	}
	if daemon.settings.FirstStart {
		daemon.follower.stale = daemon.platform.Store
	}
	daemon.servePromises(daemon.peerServer)
	daemon.serveCustody(daemon.peerServer)
	daemon.crashExchange = crashExchange{
		crashes: &daemon.crashes, view: daemon.view, pool: daemon.pool, clock: daemon.clock,
		linked: make(chan balsamproxy.HostID, maxNewLinks),
	}
	daemon.crashExchange.serve(daemon.peerServer)
	daemon.follower.serve(daemon.peerServer)
	daemon.follower.relay = &relay{follower: daemon.follower, pool: daemon.pool, view: daemon.view}
	daemon.follower.relay.serve(daemon.peerServer)
	daemon.spender = &lending.Spender{
		Host:    daemon.settings.Host,
		Config:  &daemon.current,
		Homes:   homes{daemon: daemon},
		Pool:    daemon.pool,
		Clock:   daemon.clock,
		Metrics: daemon.metrics,
		Events:  &events.Log{Logger: daemon.log, Now: time.Now},
	}
	daemon.spender.Loans.Borrower = allowance.Borrower{Host: daemon.settings.Host, Incarnation: daemon.incarnation}
	if daemon.settings.FirstStart {
		daemon.spender.NewFleetUntil = daemon.clock.Boot() + balsamproxy.BootTime(fleetStartWindow)
	}
	daemon.spender.Serve(daemon.peerServer)
	if daemon.platform.Eras != nil {
		daemon.platform.Eras.OnEra(daemon.enterEra)
	}
}

func (daemon *Daemon) wireRequestPath() {
	daemon.entry = &entry.Entry{
		Host:      daemon.settings.Host,
		Service:   func() balsamproxy.ServiceID { return *daemon.service.Load() },
		Dialect:   daemon.platform.Dialect,
		Config:    &daemon.current,
		Evidence:  &daemon.evidence,
		Allowance: daemon.spender,
		Members:   &daemon.table,

		Evacuations: &daemon.evacuations,

		Chooser: daemon.placement(),
		Split:   &placement.Split{},
		Budget:  &daemon.budget,
		Local:   daemon.local,
		Remote:  daemon.pool,
		Clock:   daemon.clock,
		Boot:    daemon.clock,
		Random:  rand.Float64,
		Events:  &events.Log{Logger: daemon.log, Now: time.Now},
		Metrics: daemon.metrics,

		CallFailed: daemon.local.CallFailed,
		Crashes:    &daemon.crashes,
		Throttle:   &throttle.Throttle{},
	}
	if daemon.settings.ShedByCost {
		daemon.local.Costs = &callcost.Ledger{}
		daemon.entry.Prices = &pricing.Prices{}
		daemon.entry.RecordCall = daemon.local.RecordCall
	}
	daemon.callers = &http1.Server{
		Handler:        daemon.entry,
		Bodies:         daemon.bodies,
		MaxConnections: daemon.settings.MaxCallerConnections(goruntime.DescriptorLimit()),
		OnEvict:        daemon.reportEviction,
	}
}

// placement returns the policy by which the targets of calls are selected.
func (daemon *Daemon) placement() placement.Policy {
	if daemon.settings.Placement == settings.PlacementFreeRoom {
		return &placement.FreeRoom{DataCentre: daemon.settings.DataCentre}
	}
	return &placement.Chooser{DataCentre: daemon.settings.DataCentre}
}

// ready reports whether the daemon can serve callers, and the reason if it cannot.
func (daemon *Daemon) ready() (bool, string) {
	switch {
	case daemon.leaving.Load():
		return false, "shutting down"
	case daemon.current.Index() == nil:
		return false, "no configuration yet"
	}
	return true, ""
}
