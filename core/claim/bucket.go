package claim

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"balsamproxy"
)

// ID identifies one claim.
type ID [8]byte

// Owner identifies the daemon process that made a claim.
type Owner struct {
	Host        balsamproxy.HostID `cbor:"1,keyasint"`
	Incarnation string             `cbor:"2,keyasint"`
}

// Claim is the exclusive right of one request to execute an order.
type Claim struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Body        BodyDigest  `cbor:"2,keyasint"`
	ID          ID          `cbor:"3,keyasint"`
	Owner       Owner       `cbor:"4,keyasint"`
}

// Proposal is a claim that a request proposes to record in a bucket.
type Proposal struct {
	Claim Claim `cbor:"1,keyasint"`
	// Replaces is the claim that the proposal may replace because its owner has
	// abandoned it permanently. Zero replaces none.
	Replaces ID `cbor:"2,keyasint"`
}

// Bucket is the value stored for one slot.
type Bucket struct {
	// Lease expires the slot once its keys can no longer be used.
	Lease  balsamproxy.LeaseID `cbor:"1,keyasint"`
	Claims []Claim             `cbor:"2,keyasint"`
}

// ErrMalformedBucket means that a stored value is not an encoded bucket.
var ErrMalformedBucket = errors.New("claim: malformed bucket")

// Decode decodes a stored value. An empty value is an empty bucket.
func Decode(value []byte) (Bucket, error) {
	var bucket Bucket
	if len(value) == 0 {
		return bucket, nil
	}
	if err := cbor.Unmarshal(value, &bucket); err != nil {
		return Bucket{}, errors.Join(ErrMalformedBucket, err)
	}
	return bucket, nil
}

// Encode returns the value to store for a bucket.
func (bucket Bucket) Encode() ([]byte, error) {
	return cbor.Marshal(bucket)
}

// Find returns the claim with a fingerprint.
func (bucket Bucket) Find(fingerprint Fingerprint) (Claim, bool) {
	for _, claim := range bucket.Claims {
		if claim.Fingerprint == fingerprint {
			return claim, true
		}
	}
	return Claim{}, false
}

// Apply returns a copy of the bucket with the claims of all admissible
// proposals, and reports whether the copy differs.
func (bucket Bucket) Apply(proposals []Proposal) (Bucket, bool) {
	next := Bucket{Lease: bucket.Lease, Claims: append([]Claim(nil), bucket.Claims...)}
	changed := false
	for _, proposal := range proposals {
		changed = next.insert(proposal) || changed
	}
	return next, changed
}

// insert adds the claim of a proposal if its fingerprint has no claim yet or the
// existing claim is the one to replace. It reports whether the bucket changed.
func (bucket *Bucket) insert(proposal Proposal) bool {
	for index, existing := range bucket.Claims {
		if existing.Fingerprint != proposal.Claim.Fingerprint {
			continue
		}
		if proposal.Replaces == (ID{}) || existing.ID != proposal.Replaces {
			return false
		}
		bucket.Claims[index] = proposal.Claim
		return true
	}
	bucket.Claims = append(bucket.Claims, proposal.Claim)
	return true
}
