package claim

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"balsamproxy"
)

// ID names one claim.
type ID [8]byte

// Owner is the run of a daemon that made a claim.
type Owner struct {
	Host        balsamproxy.HostID `cbor:"1,keyasint"`
	Incarnation string             `cbor:"2,keyasint"`
}

// Claim is the right of one request to run an order.
type Claim struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Body        BodyDigest  `cbor:"2,keyasint"`
	ID          ID          `cbor:"3,keyasint"`
	Owner       Owner       `cbor:"4,keyasint"`
}

// Proposal is a claim that a request wants to make.
type Proposal struct {
	Claim Claim `cbor:"1,keyasint"`
	// Replaces is the claim that the bid takes the place of: its claimant
	// has given it up for ever. Zero replaces none.
	Replaces ID `cbor:"2,keyasint"`
}

// Bucket is the value of one slot in the store.
type Bucket struct {
	// Lease ends the slot when its keys can no longer be used.
	Lease  balsamproxy.LeaseID `cbor:"1,keyasint"`
	Claims []Claim             `cbor:"2,keyasint"`
}

// ErrMalformedBucket says that a value of the store is not a bucket.
var ErrMalformedBucket = errors.New("claim: malformed bucket")

// Decode returns the bucket in a value; an empty value is an empty bucket.
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

// Encode returns the value of a bucket.
func (bucket Bucket) Encode() ([]byte, error) {
	return cbor.Marshal(bucket)
}

// Find returns the claim of a fingerprint.
func (bucket Bucket) Find(fingerprint Fingerprint) (Claim, bool) {
	for _, claim := range bucket.Claims {
		if claim.Fingerprint == fingerprint {
			return claim, true
		}
	}
	return Claim{}, false
}

// Apply returns the bucket with those bids that find their place free, and says
// whether it differs.
func (bucket Bucket) Apply(bids []Proposal) (Bucket, bool) {
	next := Bucket{Lease: bucket.Lease, Claims: append([]Claim(nil), bucket.Claims...)}
	changed := false
	for _, bid := range bids {
		changed = next.place(bid) || changed
	}
	return next, changed
}

// place makes one claim, if its place is free or the claim there is given up.
func (bucket *Bucket) place(bid Proposal) bool {
	for index, standing := range bucket.Claims {
		if standing.Fingerprint != bid.Claim.Fingerprint {
			continue
		}
		if bid.Replaces == (ID{}) || standing.ID != bid.Replaces {
			return false
		}
		bucket.Claims[index] = bid.Claim
		return true
	}
	bucket.Claims = append(bucket.Claims, bid.Claim)
	return true
}
