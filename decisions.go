package balsamproxy

import (
	"context"
	"time"
)

// Standing reports whether a daemon may admit requests that carry a client
// account key, and spend or lend rate allowance.
type Standing interface {
	// Has reports whether the daemon has standing at now.
	Has(now time.Time) bool
}

// Permit is a token of a client account's allowance for one pending request. Its
// zero value does not expire.
type Permit struct {
	// NotBefore is when the token exists.
	NotBefore time.Time
	// UseBy is when the token must be dropped if the request has not been sent.
	UseBy time.Time
}

// Expired reports whether the permit can no longer be used.
func (permit Permit) Expired(now time.Time) bool {
	return !permit.UseBy.IsZero() && now.After(permit.UseBy)
}

// Allowance spends the rate allowance of client accounts.
type Allowance interface {
	// Spend deducts one request from an account's allowance. It returns a
	// permit that can be used at once, or a refusal.
	Spend(ctx context.Context, account ClientAccountID) (Permit, *Refusal)
}

// RetryPermits grants additional attempts for customer requests.
type RetryPermits interface {
	// Take asks the host where a request originated for one more attempt. If
	// that host does not respond, the attempt is denied.
	Take(ctx context.Context, root HostID, request RequestID) bool
}
