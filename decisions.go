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

// Allowance spends the rate allowance of client accounts.
type Allowance interface {
	// Spend deducts one request from an account's allowance. It returns nil on
	// success.
	Spend(ctx context.Context, account ClientAccountID) *Refusal
}

// RetryPermits grants additional attempts for customer requests.
type RetryPermits interface {
	// Take asks the host where a request originated for one more attempt. If
	// that host does not respond, the attempt is denied.
	Take(ctx context.Context, root HostID, request RequestID) bool
}
