package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"maps"
	"slices"
	"strings"
	"time"

	"balsamproxy"
	"balsamproxy/core/allowance"
)

// Digest is the SHA-256 digest of a key's secret.
type Digest [digestBytes]byte

// DigestOf returns the SHA-256 digest of a secret.
func DigestOf(secret string) Digest {
	return sha256.Sum256([]byte(secret))
}

// Index provides lookups in one accepted document. It is immutable.
type Index struct {
	revision balsamproxy.Revision
	document *Document
	keys     map[Digest]indexedKey
	accounts map[balsamproxy.ClientAccountID]allowance.Limits
	routes   []Route
	// hosts maps each host name to its routes, sorted by descending path
	// length; the empty name has the routes for any host name.
	hosts map[string][]Route
	// priorities contains only the accounts that override the route's priority.
	priorities map[balsamproxy.ClientAccountID]balsamproxy.Priority
	unlimited  map[balsamproxy.ClientAccountID]bool
	// warmUpRates contains only the services with a warm-up rate.
	warmUpRates map[balsamproxy.ServiceID]float64
}

type indexedKey struct {
	digest   Digest
	account  balsamproxy.ClientAccountID
	notAfter time.Time
}

// NewIndex returns the index of a document in which Validate found no fault.
func NewIndex(document *Document, revision balsamproxy.Revision) *Index {
	index := &Index{
		revision: revision,
		document: document,
		keys:     map[Digest]indexedKey{},
		accounts: map[balsamproxy.ClientAccountID]allowance.Limits{},
		routes:   slices.Clone(document.Routes),
		hosts:    map[string][]Route{},

		priorities: map[balsamproxy.ClientAccountID]balsamproxy.Priority{},
		unlimited:  map[balsamproxy.ClientAccountID]bool{},

		warmUpRates: map[balsamproxy.ServiceID]float64{},
	}
	for _, service := range document.Services {
		if service.WarmUpRate > 0 {
			index.warmUpRates[service.ID] = service.WarmUpRate
		}
	}
	for _, account := range document.ClientAccounts {
		index.accounts[account.ID] = allowance.Limits{Rate: account.Rate, Burst: account.Burst}
		index.unlimited[account.ID] = account.Unlimited
		if account.Priority != nil {
			index.priorities[account.ID] = *account.Priority
		}
		for _, key := range account.Keys {
			index.addKey(account.ID, key)
		}
	}
	slices.SortStableFunc(index.routes, longerPathFirst)
	for _, route := range index.routes {
		index.hosts[route.Host] = append(index.hosts[route.Host], route)
	}
	return index
}

func longerPathFirst(left, right Route) int {
	return len(right.Path) - len(left.Path)
}

func (index *Index) addKey(account balsamproxy.ClientAccountID, key Key) {
	digest, _ := parseDigest(key.Digest)
	indexed := indexedKey{digest: digest, account: account}
	if key.NotAfter != "" {
		indexed.notAfter, _ = time.Parse(time.RFC3339, key.NotAfter)
	}
	index.keys[digest] = indexed
}

// Revision returns the store revision of the document.
func (index *Index) Revision() balsamproxy.Revision { return index.revision }

// Document returns the document. The caller must not modify it.
func (index *Index) Document() *Document { return index.document }

// AccountBySecret returns the client account that a secret authenticates. It
// finds none if the key is unknown or has expired at now.
func (index *Index) AccountBySecret(secret string, now time.Time) (balsamproxy.ClientAccountID, bool) {
	digest := DigestOf(secret)
	key, found := index.keys[digest]
	if !found || subtle.ConstantTimeCompare(key.digest[:], digest[:]) != 1 {
		return "", false
	}
	if !key.notAfter.IsZero() && now.After(key.notAfter) {
		return "", false
	}
	return key.account, true
}

// Limits returns the rate and burst of a client account, or zero limits if the
// account does not exist.
func (index *Index) Limits(account balsamproxy.ClientAccountID) allowance.Limits {
	return index.accounts[account]
}

// Accounts returns the client accounts, in no particular order.
func (index *Index) Accounts() []balsamproxy.ClientAccountID {
	return slices.Collect(maps.Keys(index.accounts))
}

// Unlimited reports whether an account is exempt from rate limiting.
func (index *Index) Unlimited(account balsamproxy.ClientAccountID) bool {
	return index.unlimited[account]
}

// WarmUpRate returns the number of calls per second that a cold target of a service
// takes, zero if there is no limit.
func (index *Index) WarmUpRate(service balsamproxy.ServiceID) float64 {
	return index.warmUpRates[service]
}

// Priority returns the priority of a request: that of the account if it sets
// one, otherwise that of the route.
func (index *Index) Priority(account balsamproxy.ClientAccountID, route Route) balsamproxy.Priority {
	if priority, found := index.priorities[account]; found {
		return priority
	}
	return route.Priority
}

// HostRoute returns the route of a caller's request: the match with the longest
// path among the routes of the host name or, if none of them matches, among the
// routes for any host name.
func (index *Index) HostRoute(host, method, path string) (Route, bool) {
	for _, name := range []string{host, ""} {
		for _, route := range index.hosts[name] {
			if route.Access != AccessInternal && route.matches(method, path) {
				return route, true
			}
		}
	}
	return Route{}, false
}

// CallerRoute returns the route with the longest path that matches a caller's
// request, whatever its host name.
func (index *Index) CallerRoute(method, path string) (Route, bool) {
	for _, route := range index.routes {
		if route.Access != AccessInternal && route.matches(method, path) {
			return route, true
		}
	}
	return Route{}, false
}

// ServiceRoute returns the route with the longest path that matches a target's
// call to a service.
func (index *Index) ServiceRoute(service balsamproxy.ServiceID, method, path string) (Route, bool) {
	for _, route := range index.routes {
		if route.Service == service && route.matches(method, path) {
			return route, true
		}
	}
	return Route{}, false
}

func (route Route) matches(method, path string) bool {
	if !slices.Contains(route.Methods, method) && !slices.Contains(route.Methods, AnyMethod) {
		return false
	}
	if strings.HasSuffix(route.Path, "/") {
		return strings.HasPrefix(path, route.Path)
	}
	return path == route.Path
}
