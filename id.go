package balsamproxy

import "strconv"

// HostID identifies one target host and the daemon that runs on it.
type HostID string

// DataCentreID identifies one data centre.
type DataCentreID string

// TargetID identifies one target; it is unique within the fleet.
type TargetID string

// ServiceID identifies a group of targets that serve the same requests.
type ServiceID string

// ClientAccountID identifies one client account.
type ClientAccountID string

// KeyID identifies one key of a client account; it is not secret.
type KeyID string

// RouteID identifies one route of the configuration.
type RouteID string

// RequestID identifies one customer request throughout the call graph.
type RequestID string

// SpanID identifies one delivery of a call to a target: 16 lower-case hex digits.
type SpanID string

// TraceID identifies one trace as defined by W3C Trace Context: 32 lower-case
// hex digits.
type TraceID string

// CrashID identifies one crash of one target.
type CrashID string

// StoreKey is a key of the platform's store.
type StoreKey string

// LeaseID identifies a lease of the platform's store. Zero means no lease.
type LeaseID int64

// Revision is a monotonically increasing version of the platform's store. Zero
// means that a key does not exist.
type Revision int64

// String returns the revision in decimal digits.
func (revision Revision) String() string {
	return strconv.FormatInt(int64(revision), 10)
}

// StoreEra is a period between two returns of the store from an older copy. Zero
// means that the era is not known or that the store does not report it; otherwise it is
// one more than the number that the store reports, which may start at zero.
type StoreEra int64

// Number returns the number that the store reports for a known era.
func (era StoreEra) Number() int64 { return int64(era) - 1 }

// Priority orders calls under overload: calls of lower priority are shed before
// calls of higher priority.
type Priority uint8

// Bounds of Priority.
const (
	PriorityLowest  Priority = 0
	PriorityHighest Priority = 9
)

// Depth is the number of calls between a customer request and a nested call.
type Depth uint8

// MaxDepth is the maximum depth of a forwarded call. A deeper call is refused
// because it more likely comes from a call loop than from a deep call graph.
const MaxDepth Depth = 32
