// Package claim decides which of several requests with the same idempotency
// key may run its order: the one whose claim stands in the platform's store.
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
	// MaxKeyAge is how long a key may be used, counted from its birth.
	MaxKeyAge = time.Hour
	// MaxClockSkew is by how much the clocks of callers and hosts may differ.
	MaxClockSkew = 5 * time.Minute
	// Retention is how long claims are kept, counted from the first claim of
	// their slot. No claim may end while its key can still be used.
	Retention = MaxKeyAge + 2*MaxClockSkew

	// BucketCount is the number of buckets over which claims are spread.
	BucketCount = 64

	slotTime   = time.Minute
	keyVersion = 7
)

// Errors of a key.
var (
	// ErrKeyMissing says that a request shows no key.
	ErrKeyMissing = errors.New("an order needs an Idempotency-Key")
	// ErrKeyMalformed says that a key does not carry its birth.
	ErrKeyMalformed = errors.New("the Idempotency-Key must be a UUID of version 7, which carries its birth")
	// ErrKeyTooOld says that the claims of the key's time may be gone.
	ErrKeyTooOld = errors.New("the Idempotency-Key is too old to tell whether the order has run")
	// ErrKeyTooNew says that the key is born in the future.
	ErrKeyTooNew = errors.New("the Idempotency-Key is born in the future: check the caller's clock")
)

// Fingerprint names one order: its client account, route and key.
type Fingerprint [16]byte

// BodyDigest tells the contents of orders apart.
type BodyDigest [8]byte

// Slot is the place of a claim in the store. All claims of a fingerprint have
// the same slot.
type Slot struct {
	Bucket uint8 `cbor:"1,keyasint"`
	// Minute is the minute of the key's birth, counted from 1970.
	Minute int64 `cbor:"2,keyasint"`
}

// Key returns the store's key of a slot below a prefix.
func (slot Slot) Key(prefix balsamproxy.StoreKey) balsamproxy.StoreKey {
	return prefix + balsamproxy.StoreKey(fmt.Sprintf("%d/%02d", slot.Minute, slot.Bucket))
}

// Order is what a request says of its order.
type Order struct {
	Fingerprint Fingerprint
	Body        BodyDigest
	Slot        Slot
}

// NewOrder returns the order of a request at an instant. It fails with one of
// the errors of a key.
func NewOrder(account balsamproxy.ClientAccountID, route balsamproxy.RouteID, key string, content []byte, now time.Time) (Order, error) {
	if key == "" {
		return Order{}, ErrKeyMissing
	}
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != keyVersion {
		return Order{}, ErrKeyMalformed
	}
	birth := birthOf(parsed)
	if now.Sub(birth) > MaxKeyAge {
		return Order{}, ErrKeyTooOld
	}
	if birth.Sub(now) > MaxClockSkew {
		return Order{}, ErrKeyTooNew
	}
	fingerprint := fingerprintOf(account, route, parsed)
	return Order{
		Fingerprint: fingerprint,
		Body:        digestOf(content),
		Slot:        Slot{Bucket: fingerprint[0] % BucketCount, Minute: birth.Unix() / int64(slotTime/time.Second)},
	}, nil
}

// birthOf returns the instant in the first 48 bits of a key.
func birthOf(key uuid.UUID) time.Time {
	var padded [8]byte
	copy(padded[2:], key[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(padded[:])))
}

func fingerprintOf(account balsamproxy.ClientAccountID, route balsamproxy.RouteID, key uuid.UUID) Fingerprint {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%q %q %s", account, route, key)
	var fingerprint Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

func digestOf(content []byte) BodyDigest {
	sum := sha256.Sum256(content)
	var digest BodyDigest
	copy(digest[:], sum[:])
	return digest
}
