// Package config parses, validates and compares configuration documents, and
// looks up client accounts, limits and routes in an accepted one.
package config

import (
	"time"

	"balsamproxy"
)

// Access restricts who may use a route.
type Access string

// Values of Access.
const (
	// AccessKeyed requires the key of a client account.
	AccessKeyed Access = "keyed"
	// AccessOpen requires no key.
	AccessOpen Access = "open"
	// AccessInternal admits only calls made by targets.
	AccessInternal Access = "internal"
)

// AnyMethod in Route.Methods matches every method.
const AnyMethod = "*"

// DefaultRetryLimit is the number of extra attempts for a caller's request if
// its route sets no limit.
const DefaultRetryLimit = 3

// Document is the configuration shared by all hosts of the fleet.
type Document struct {
	ClientAccounts []ClientAccount `json:"client-accounts"`
	Routes         []Route         `json:"routes"`
	// Callers limits the connections of callers; nil means the defaults.
	Callers *CallerLimits `json:"callers,omitempty"`
	// Services holds what applies to the targets of a service. Services that are not
	// listed have no such limits.
	Services []Service `json:"services,omitempty"`
}

// Service limits the calls to the targets of a service.
type Service struct {
	ID balsamproxy.ServiceID `json:"id"`
	// WarmUpRate is the number of calls per second that a cold target takes, from all
	// hosts together; zero means no limit.
	WarmUpRate float64 `json:"warm-up-rate,omitempty"`
}

// CallerLimits sets size limits and timeouts for a caller's connection. A zero
// field selects the default of the daemon.
type CallerLimits struct {
	HeaderBytes int `json:"header-bytes,omitempty"`
	BodyBytes   int `json:"body-bytes,omitempty"`
	// HeaderTimeout is the time allowed for reading a header, in milliseconds.
	HeaderTimeout int `json:"header-timeout-ms,omitempty"`
	// IdleTimeout is how long a connection may stay idle, in milliseconds.
	IdleTimeout int `json:"idle-timeout-ms,omitempty"`
}

// ClientAccount is one customer of the services, with its keys and rate limit.
type ClientAccount struct {
	ID balsamproxy.ClientAccountID `json:"id"`
	// Rate is the allowed number of requests per second, over the whole fleet.
	Rate int `json:"rate"`
	// Burst is the number of requests allowed at once in excess of Rate.
	Burst int   `json:"burst"`
	Keys  []Key `json:"keys"`
	// Unlimited exempts the account from rate limiting; Rate and Burst must
	// then be zero.
	Unlimited bool `json:"unlimited,omitempty"`
	// Priority overrides the priority of the route; nil leaves the route's in
	// effect.
	Priority *balsamproxy.Priority `json:"priority,omitempty"`
}

// Key holds the digest of a secret that authenticates a client account.
type Key struct {
	ID balsamproxy.KeyID `json:"id"`
	// Digest is "sha256:" followed by 64 lower-case hex digits.
	Digest string `json:"digest"`
	// NotAfter is the expiry time in RFC 3339 format; empty means no expiry.
	NotAfter string `json:"not-after,omitempty"`
}

// Route maps requests to a service and sets how they are handled.
type Route struct {
	ID balsamproxy.RouteID `json:"id"`
	// Service is the only service of the route; empty if Split is set.
	Service balsamproxy.ServiceID `json:"service,omitempty"`
	// Split distributes the requests of the route over several services.
	Split []WeightedService `json:"split,omitempty"`
	// Host is the host name that requests must carry; empty matches any.
	Host string `json:"host,omitempty"`
	// Methods are the HTTP methods of the route; AnyMethod matches all.
	Methods []string `json:"methods"`
	// Path matches exactly, or as a prefix if it ends with a slash.
	Path       string               `json:"path"`
	Access     Access               `json:"access"`
	Priority   balsamproxy.Priority `json:"priority"`
	Idempotent bool                 `json:"idempotent"`
	// Deadline is the time allowed for the whole request, in milliseconds.
	Deadline int `json:"deadline-ms"`
	// RetryLimit is the number of extra attempts over the whole call graph;
	// nil means DefaultRetryLimit.
	RetryLimit *int `json:"retry-limit,omitempty"`
	// Objective is the latency objective in milliseconds: an answer has its full
	// value only within this time. Zero means the deadline.
	Objective int `json:"objective-ms,omitempty"`
}

// WeightedService is one service of a split route with its share of the requests.
type WeightedService struct {
	Service balsamproxy.ServiceID `json:"service"`
	Weight  int                   `json:"weight"`
}

// WeightedServices returns the services of the route with their weights. A
// route without a split has one service of weight 1.
func (route Route) WeightedServices() []WeightedService {
	if len(route.Split) > 0 {
		return route.Split
	}
	return []WeightedService{{Service: route.Service, Weight: 1}}
}

// EffectiveObjective returns the latency objective, or the deadline if the
// route sets no objective.
func (route Route) EffectiveObjective() time.Duration {
	if route.Objective > 0 {
		return time.Duration(route.Objective) * time.Millisecond
	}
	return time.Duration(route.Deadline) * time.Millisecond
}

// EffectiveRetryLimit returns RetryLimit, or DefaultRetryLimit if it is not set.
func (route Route) EffectiveRetryLimit() int {
	if route.RetryLimit == nil {
		return DefaultRetryLimit
	}
	return *route.RetryLimit
}
