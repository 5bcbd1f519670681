package daemon

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"balsamproxy"
	coreallowance "balsamproxy/core/allowance"
	"balsamproxy/core/balance"
	"balsamproxy/core/claim"
	"balsamproxy/core/settings"
	"balsamproxy/core/throttle"
	"balsamproxy/io/allowance"
	"balsamproxy/io/caller"
	"balsamproxy/io/etcd"
	"balsamproxy/io/fleet"
	"balsamproxy/io/goruntime"
	"balsamproxy/io/operator"
	"balsamproxy/io/orders"
	"balsamproxy/io/peer"
	"balsamproxy/io/standing"
	"balsamproxy/io/store"
	"balsamproxy/io/suspects"
	"balsamproxy/io/target"
)

func (daemon *Daemon) wireStore() {
	prefix := daemon.settings.StorePrefix
	daemon.incarnation = string(fleet.IDs{}.NewSpan())
	daemon.store = &etcd.Client{
		Addresses: daemon.settings.StoreAddresses,
		HTTP:      storeHTTP(string(daemon.settings.Host)),
		Metrics:   daemon.metrics,
	}
	daemon.registrar = &store.Registrar{
		Store:  daemon.store,
		Key:    store.MemberKey(prefix, daemon.settings.Host),
		Log:    daemon.log,
		Record: daemon.record,
	}
	daemon.follower = &store.MemberFollower{
		Store:  daemon.store,
		Prefix: store.MembersPrefix(prefix),
		Table:  &daemon.members,
		Log:    daemon.log,
	}
}

// wireSharedDocuments sets up the components that keep the documents shared by
// all daemons.
func (daemon *Daemon) wireSharedDocuments() {
	host := daemon.settings.Host
	clock := balsamproxy.SystemClock{}
	daemon.standing.Host = host
	daemon.spender = &allowance.Spender{
		Host:     host,
		Config:   &daemon.current,
		Members:  &daemon.members,
		Standing: &daemon.standing,
		Pool:     daemon.pool,
		Clock:    clock,
		Metrics:  daemon.metrics,
	}
	daemon.spender.Loans.Borrower = coreallowance.Borrower{Host: host, Incarnation: daemon.incarnation}
	daemon.spender.Serve(daemon.peerServer)
	daemon.documents = &store.Documents{
		Store:       daemon.store,
		Prefix:      store.SharedPrefix(daemon.settings.StorePrefix),
		Config:      &daemon.current,
		Standing:    &daemon.standing,
		UpdateHomes: daemon.spender.UpdateHomes,
		Log:         daemon.log,
	}
	daemon.keeper = &standing.Monitor{
		Host:      host,
		Standing:  &daemon.standing,
		Documents: daemon.documents,
		Pool:      daemon.pool,
		Clock:     clock,
		Log:       daemon.log,
	}
	standing.Serve(daemon.peerServer, &daemon.standing, daemon.documents)
	daemon.orders = &orders.Guard{
		Self:      claim.Owner{Host: host, Incarnation: daemon.incarnation},
		Members:   &daemon.members,
		Pool:      daemon.pool,
		Committer: &orders.Committer{Store: daemon.store, Prefix: claimsPrefix(daemon.settings), Metrics: daemon.metrics},
		Metrics:   daemon.metrics,
	}
	daemon.orders.Serve(daemon.peerServer)
	daemon.roster = &standing.RosterManager{Monitor: daemon.keeper, Members: &daemon.members}
	daemon.homes = &standing.HomesManager{Monitor: daemon.keeper, Members: &daemon.members, Spender: daemon.spender}
}

func claimsPrefix(settings settings.Settings) balsamproxy.StoreKey {
	return balsamproxy.StoreKey(settings.StorePrefix + "claims/")
}

// userAgent is an HTTP transport that identifies the host to the store, by the
// User-Agent field of each request.
type userAgent struct {
	name string
	next http.RoundTripper
}

// RoundTrip sets the User-Agent field and forwards the request.
func (agent userAgent) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set("User-Agent", agent.name)
	return agent.next.RoundTrip(request)
}

func storeHTTP(name string) *http.Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &http.Client{Transport: userAgent{name: name, next: transport}}
}

// record returns the member record that this daemon publishes.
func (daemon *Daemon) record() balsamproxy.Member {
	return balsamproxy.Member{
		Host:        daemon.settings.Host,
		DataCentre:  daemon.settings.DataCentre,
		PeerAddress: daemon.settings.PeerAddress,
		Incarnation: daemon.incarnation,
		Leaving:     daemon.leaving.Load(),
		Targets:     daemon.carrier.Announced(),
	}
}

// wireTransport sets up the transport to targets and to other daemons.
func (daemon *Daemon) wireTransport() {
	host := daemon.settings.Host
	clock := balsamproxy.SystemClock{}
	daemon.carrier = &target.Forwarder{
		Clock:   clock,
		Parents: &daemon.parents,
		NewSpan: fleet.IDs{}.NewSpan,
		Changed: daemon.registrar.Publish,
	}
	daemon.pool = &peer.Pool{Host: host, Directory: &daemon.members, Metrics: daemon.metrics}
	if daemon.identities.peer != nil {
		daemon.pool.TLS = daemon.identities.peer.ClientConfig
	}
	daemon.peerServer = &peer.Server{Local: daemon.carrier, Memory: daemon.memory, OnEvict: daemon.reportEvictedAnswer}
}

// wireRequestPath sets up the path of a request from a caller to a target.
func (daemon *Daemon) wireRequestPath() {
	host := daemon.settings.Host
	clock := balsamproxy.SystemClock{}
	permits := &fleet.RootPermits{Host: host, Local: &daemon.retryLimiter, Pool: daemon.pool}
	permits.Serve(daemon.peerServer)
	crashes := &suspects.Coordinator{Host: host, Members: &daemon.members, Pool: daemon.pool, Clock: clock, Metrics: daemon.metrics}
	crashes.Serve(daemon.peerServer)
	daemon.dispatch = &fleet.Dispatcher{
		Host:     host,
		Members:  &daemon.members,
		Chooser:  &balance.Chooser{DataCentre: daemon.settings.DataCentre},
		Local:    daemon.carrier,
		Remote:   daemon.pool,
		Permits:  permits,
		Suspects: crashes,
		Clock:    clock,
		Random:   rand.Uint64,
		Metrics:  daemon.metrics,
	}
	daemon.callers = &caller.Handler{
		Host:         host,
		Config:       &daemon.current,
		Dispatch:     daemon.dispatch,
		RetryLimiter: &daemon.retryLimiter,
		Clock:        clock,
		Metrics:      daemon.metrics,
		Standing:     &daemon.standing,

		Allowance: daemon.spender,
		Orders:    daemon.orders,
		Throttle:  &throttle.Throttle{},
		Random:    rand.Float64,

		Memory:         daemon.memory,
		MaxConnections: daemon.settings.MaxCallerConnections(goruntime.DescriptorLimit()),
		OnEvict:        daemon.reportEviction,
	}
	daemon.targets = &target.Handler{
		Host:      host,
		Forwarder: daemon.carrier,
		Dispatch:  daemon.dispatch,
		Routes:    &daemon.current,
	}
}

func (daemon *Daemon) wireOperators(metrics http.Handler) {
	daemon.operators = &operator.Handler{
		Editor:      store.ConfigEditor{Store: daemon.store, Key: daemon.documents.Key(store.DocumentConfig)},
		Current:     &daemon.current,
		Spread:      daemon.keeper,
		TokenDigest: daemon.settings.OperatorTokenDigest,
		Ready:       daemon.ready,
		Metrics:     metrics,
	}
}
