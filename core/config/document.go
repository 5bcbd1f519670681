// Package config decides about the one configuration document: whether it is
// accepted, what differs between two of them, and what it says about a key or
// a request.
package config

import (
	"time"

	"balsamproxy"
)

// Access says who may use a route.
type Access string

// Kinds of access.
const (
	// AccessKeyed asks for the key of a client account.
	AccessKeyed Access = "keyed"
	// AccessOpen is open to all.
	AccessOpen Access = "open"
	// AccessInternal is open only to calls of targets.
	AccessInternal Access = "internal"
)

// AnyMethod stands for all methods in a route.
const AnyMethod = "*"

// DefaultRetryLimit is the number of extra attempts of a customer request
// whose route sets none.
const DefaultRetryLimit = 3

// Document is the configuration of the whole fleet.
type Document struct {
	ClientAccounts []ClientAccount `json:"client-accounts"`
	Routes         []Route         `json:"routes"`
	// Callers limits what callers' connections may carry.
	Callers *CallerLimits `json:"callers,omitempty"`
}

// CallerLimits bounds what a caller may send on one connection. Zero means
// the default of the daemon.
type CallerLimits struct {
	HeaderBytes int `json:"header-bytes,omitempty"`
	BodyBytes   int `json:"body-bytes,omitempty"`
	// HeaderTimeout is the time for a header in milliseconds.
	HeaderTimeout int `json:"header-timeout-ms,omitempty"`
	// IdleTimeout is how long a connection may be idle in milliseconds.
	IdleTimeout int `json:"idle-timeout-ms,omitempty"`
}

// ClientAccount is one customer of the services with its keys and rate.
type ClientAccount struct {
	ID balsamproxy.ClientAccountID `json:"id"`
	// Rate is the number of requests a second, counted over the fleet.
	Rate int `json:"rate"`
	// Burst is the number of requests that may come at once on top.
	Burst int   `json:"burst"`
	Keys  []Key `json:"keys"`
	// Unlimited says that the account has no rate; Rate and Burst are then
	// zero.
	Unlimited bool `json:"unlimited,omitempty"`
	// Priority goes before the priority of a route; absent means that the
	// route's holds.
	Priority *balsamproxy.Priority `json:"priority,omitempty"`
}

// Key is the digest of one secret that proves a client account.
type Key struct {
	ID balsamproxy.KeyID `json:"id"`
	// Digest is "sha256:" and 64 lower-case hex digits.
	Digest string `json:"digest"`
	// NotAfter ends the key at an instant in RFC 3339; empty means never.
	NotAfter string `json:"not-after,omitempty"`
}

// Route tells which requests go to which service and how.
type Route struct {
	ID balsamproxy.RouteID `json:"id"`
	// Service is the only service of the route; empty if Split is set.
	Service balsamproxy.ServiceID `json:"service,omitempty"`
	// Split shares the requests of the route out over several services.
	Split []WeightedService `json:"split,omitempty"`
	// Host is the host name that requests are for; empty means any.
	Host string `json:"host,omitempty"`
	// Methods are the HTTP methods of the route; AnyMethod stands for all.
	Methods []string `json:"methods"`
	// Path is exact, or a prefix if it ends with a slash.
	Path       string               `json:"path"`
	Access     Access               `json:"access"`
	Priority   balsamproxy.Priority `json:"priority"`
	Idempotent bool                 `json:"idempotent"`
	// Deadline is the time for the whole request in milliseconds.
	Deadline int `json:"deadline-ms"`
	// RetryLimit is the number of extra attempts over the whole call graph;
	// absent means RetryLimitDefault.
	RetryLimit *int `json:"retry-limit,omitempty"`
	// Objective is the time within which an answer is worth most, in
	// milliseconds; zero means the deadline.
	Objective int `json:"objective-ms,omitempty"`
}

// WeightedService is one service of a split route.
type WeightedService struct {
	Service balsamproxy.ServiceID `json:"service"`
	Weight  int                   `json:"weight"`
}

// WeightedServices returns the services of the route with their weights.
func (route Route) WeightedServices() []WeightedService {
	if len(route.Split) > 0 {
		return route.Split
	}
	return []WeightedService{{Service: route.Service, Weight: 1}}
}

// EffectiveObjective returns the time within which an answer is worth most.
func (route Route) EffectiveObjective() time.Duration {
	if route.Objective > 0 {
		return time.Duration(route.Objective) * time.Millisecond
	}
	return time.Duration(route.Deadline) * time.Millisecond
}

// EffectiveRetryLimit returns the number of extra attempts for one customer request.
func (route Route) EffectiveRetryLimit() int {
	if route.RetryLimit == nil {
		return DefaultRetryLimit
	}
	return *route.RetryLimit
}
