// Package claim implements idempotency keys. Of several requests with the same
// key, only the one whose claim is recorded in the platform's store may execute
// the order, which is a request that is not idempotent by itself.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"balsamproxy"
)

const (
	// MaxKeyAge is how long a key may be used after its creation.
	MaxKeyAge = time.Hour
	// MaxClockSkew is the largest tolerated difference between the clocks of
	// callers and hosts.
	MaxClockSkew = 5 * time.Minute
	// MaxCommitDelay is longer than the time from NewOrder until the claim of the
	// order is in the store.
	MaxCommitDelay = time.Minute
	// Retention is how long claims are kept after the first claim of their
	// slot. A claim must not expire while its key can still be used. One
	// MaxClockSkew covers a key whose creation time is ahead of the clock of
	// the host that made the first claim, the other a host whose clock is
	// behind. The last key of a slot is created up to slotDuration after the
	// first one, and its claim may take MaxCommitDelay.
	Retention = MaxKeyAge + 2*MaxClockSkew + slotDuration + MaxCommitDelay

	// BucketCount is the number of buckets per minute over which claims are
	// distributed.
	BucketCount = 64

	slotDuration        = time.Minute
	requiredUUIDVersion = 7
)

// Errors returned by NewOrder for an unusable key.
var (
	// ErrKeyMissing means that the request has no key.
	ErrKeyMissing = errors.New("an order needs an Idempotency-Key")
	// ErrKeyMalformed means that the key is not a UUID of version 7, so that
	// its creation time is unknown.
	ErrKeyMalformed = errors.New("the Idempotency-Key must be a UUID of version 7, which carries its birth")
	// ErrKeyTooOld means that claims made with the key may have expired.
	ErrKeyTooOld = errors.New("the Idempotency-Key is too old to tell whether the order has run")
	// ErrKeyTooNew means that the creation time of the key is further in the
	// future than MaxClockSkew.
	ErrKeyTooNew = errors.New("the Idempotency-Key is born in the future: check the caller's clock")
)

// Fingerprint identifies an order by a hash of its client account, route and
// key.
type Fingerprint [16]byte

// BodyDigest is a truncated SHA-256 digest of a request body. It detects reuse
// of a key for a different order.
type BodyDigest [8]byte

// Slot locates a claim in the store. All claims with the same fingerprint share
// a slot.
type Slot struct {
	Bucket uint8 `cbor:"1,keyasint"`
	// Minute is the creation time of the key in minutes since the Unix epoch.
	Minute int64 `cbor:"2,keyasint"`
}

// Key returns the store key of a slot under a prefix.
func (slot Slot) Key(prefix balsamproxy.StoreKey) balsamproxy.StoreKey {
	return prefix + balsamproxy.StoreKey(fmt.Sprintf("%d/%02d", slot.Minute, slot.Bucket))
}

// Order identifies the order of a request and its slot in the store.
type Order struct {
	Fingerprint Fingerprint
	Body        BodyDigest
	Slot        Slot
	// ClaimBy is the time by which the claim must be in the store: after it, the
	// lease of the slot may have ended.
	ClaimBy time.Time
}

// NewOrder returns the order of a request received at now. If the key cannot be
// used, it returns ErrKeyMissing, ErrKeyMalformed, ErrKeyTooOld or
// ErrKeyTooNew.
func NewOrder(account balsamproxy.ClientAccountID, route balsamproxy.RouteID, key string, content []byte, now time.Time) (Order, error) {
	if key == "" {
		return Order{}, ErrKeyMissing
	}
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != requiredUUIDVersion {
		return Order{}, ErrKeyMalformed
	}
	created := creationTime(parsed)
	if now.Sub(created) > MaxKeyAge {
		return Order{}, ErrKeyTooOld
	}
	if created.Sub(now) > MaxClockSkew {
		return Order{}, ErrKeyTooNew
	}
	fingerprint := newFingerprint(account, route, parsed)
	return Order{
		Fingerprint: fingerprint,
		Body:        newBodyDigest(content),
		Slot:        Slot{Bucket: fingerprint[0] % BucketCount, Minute: created.Unix() / int64(slotDuration/time.Second)},
		ClaimBy:     created.Add(MaxKeyAge + MaxCommitDelay),
	}, nil
}

// creationTime returns the timestamp in the first 48 bits of a version 7 UUID.
func creationTime(key uuid.UUID) time.Time {
	var padded [8]byte
	copy(padded[2:], key[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(padded[:])))
}

func newFingerprint(account balsamproxy.ClientAccountID, route balsamproxy.RouteID, key uuid.UUID) Fingerprint {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%q %q %s", account, route, key)
	var fingerprint Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

func newBodyDigest(content []byte) BodyDigest {
	sum := sha256.Sum256(content)
	var digest BodyDigest
	copy(digest[:], sum[:])
	return digest
}
