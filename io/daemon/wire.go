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
	"balsamproxy/io/allowance"
	"balsamproxy/io/caller"
	"balsamproxy/io/etcd"
	"balsamproxy/io/fleet"
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

// wireShared wires what keeps the documents that all daemons share.
func (daemon *Daemon) wireShared() {
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
	daemon.spender.Purse.Borrower = coreallowance.Borrower{Host: host, Incarnation: daemon.incarnation}
	daemon.spender.Serve(daemon.links)
	daemon.documents = &store.Documents{
		Store:     daemon.store,
		Prefix:    store.SharedPrefix(daemon.settings.StorePrefix),
		Config:    &daemon.current,
		Standing:  &daemon.standing,
		TakeHomes: daemon.spender.TakeHomes,
		Log:       daemon.log,
	}
	daemon.keeper = &standing.Keeper{
		Host:      host,
		Standing:  &daemon.standing,
		Documents: daemon.documents,
		Pool:      daemon.pool,
		Clock:     clock,
		Log:       daemon.log,
	}
	standing.Serve(daemon.links, &daemon.standing, daemon.documents)
	daemon.orders = &orders.Guard{
		Claimant:  claim.Owner{Host: host, Incarnation: daemon.incarnation},
		Members:   &daemon.members,
		Pool:      daemon.pool,
		Committer: &orders.Committer{Store: daemon.store, Prefix: claimsPrefix(daemon.settings), Metrics: daemon.metrics},
		Metrics:   daemon.metrics,
	}
	daemon.orders.Serve(daemon.links)
	daemon.roster = &standing.RosterKeeper{Keeper: daemon.keeper, Members: &daemon.members}
	daemon.homes = &standing.HomesKeeper{Keeper: daemon.keeper, Members: &daemon.members, Spender: daemon.spender}
}

func claimsPrefix(settings settings.Settings) balsamproxy.StoreKey {
	return balsamproxy.StoreKey(settings.StorePrefix + "claims/")
}

// userAgent names the host in each call to the store.
type userAgent struct {
	name string
	next http.RoundTripper
}

// RoundTrip adds the name.
func (agent userAgent) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set("User-Agent", agent.name)
	return agent.next.RoundTrip(request)
}

func storeHTTP(name string) *http.Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &http.Client{Transport: userAgent{name: name, next: transport}}
}

// record returns what this daemon publishes of itself.
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

// wireLinks wires what reaches targets and other daemons.
func (daemon *Daemon) wireLinks() {
	host := daemon.settings.Host
	clock := balsamproxy.SystemClock{}
	daemon.carrier = &target.Forwarder{
		Clock:   clock,
		Parents: &daemon.parents,
		NewSpan: fleet.IDs{}.NewSpan,
		Changed: daemon.registrar.Publish,
	}
	daemon.pool = &peer.Pool{Host: host, Directory: &daemon.members, Metrics: daemon.metrics}
	if daemon.files.peer != nil {
		daemon.pool.TLS = daemon.files.peer.Client
	}
	daemon.links = &peer.Server{Carrier: daemon.carrier}
}

// wireCalls wires the way of a request from a caller to a target.
func (daemon *Daemon) wireCalls() {
	host := daemon.settings.Host
	clock := balsamproxy.SystemClock{}
	permits := &fleet.RootPermits{Host: host, Ledger: &daemon.ledger, Pool: daemon.pool}
	permits.Serve(daemon.links)
	crashes := &suspects.Keeper{Host: host, Members: &daemon.members, Pool: daemon.pool, Clock: clock, Metrics: daemon.metrics}
	crashes.Serve(daemon.links)
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
		Host:     host,
		Config:   &daemon.current,
		Dispatch: daemon.dispatch,
		Ledger:   &daemon.ledger,
		Clock:    clock,
		Metrics:  daemon.metrics,
		Standing: &daemon.standing,

		Allowance: daemon.spender,
		Orders:    daemon.orders,
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
