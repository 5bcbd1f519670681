package claim_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"balsamproxy/core/claim"
)

func claimOf(fingerprint, id byte) claim.Claim {
	return claim.Claim{Fingerprint: claim.Fingerprint{fingerprint}, ID: claim.ID{id}}
}

func TestBucketPlacesBids(t *testing.T) {
	cases := map[string]struct {
		standing []claim.Claim
		bids     []claim.Proposal
		want     []claim.Claim
		changed  bool
	}{
		"free":                         {nil, []claim.Proposal{{Claim: claimOf(1, 1)}}, []claim.Claim{claimOf(1, 1)}, true},
		"taken":                        {[]claim.Claim{claimOf(1, 1)}, []claim.Proposal{{Claim: claimOf(1, 2)}}, []claim.Claim{claimOf(1, 1)}, false},
		"same bid again":               {[]claim.Claim{claimOf(1, 1)}, []claim.Proposal{{Claim: claimOf(1, 1)}}, []claim.Claim{claimOf(1, 1)}, false},
		"first of two bids wins":       {nil, []claim.Proposal{{Claim: claimOf(1, 1)}, {Claim: claimOf(1, 2)}}, []claim.Claim{claimOf(1, 1)}, true},
		"takes a given-up place":       {[]claim.Claim{claimOf(1, 1)}, []claim.Proposal{{Claim: claimOf(1, 2), Replaces: claim.ID{1}}}, []claim.Claim{claimOf(1, 2)}, true},
		"place taken by another since": {[]claim.Claim{claimOf(1, 3)}, []claim.Proposal{{Claim: claimOf(1, 2), Replaces: claim.ID{1}}}, []claim.Claim{claimOf(1, 3)}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			next, changed := claim.Bucket{Claims: test.standing}.Apply(test.bids)
			assert.DeepEqual(t, next.Claims, test.want)
			assert.Equal(t, changed, test.changed)
		})
	}
}

func TestLedgerStates(t *testing.T) {
	id := claim.ID{1}
	cases := map[string]struct {
		steps func(*claim.Table)
		start bool
		state claim.State
	}{
		"unknown":          {func(*claim.Table) {}, false, claim.StateUnknown},
		"claiming":         {func(ledger *claim.Table) { ledger.Open(id) }, true, claim.StateClaiming},
		"given up":         {func(ledger *claim.Table) { ledger.Open(id); ledger.Abandon(id) }, false, claim.StateAbandoned},
		"running":          {func(ledger *claim.Table) { ledger.Open(id); ledger.Start(id) }, false, claim.StateRunning},
		"done":             {func(ledger *claim.Table) { ledger.Open(id); ledger.Start(id); ledger.Finish(id, claim.Record{}) }, false, claim.StateDone},
		"refused, not run": {func(ledger *claim.Table) { ledger.Open(id); ledger.Start(id); ledger.Abandon(id) }, false, claim.StateAbandoned},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			ledger := &claim.Table{}
			test.steps(ledger)
			state, _ := ledger.Lookup(id)
			assert.Equal(t, state, test.state)
			assert.Equal(t, ledger.Start(id), test.start)
		})
	}
}

func TestLedgerIsBounded(t *testing.T) {
	ledger := &claim.Table{}
	body := make([]byte, 64<<10)
	for index := range 1000 {
		id := claim.ID{byte(index), byte(index >> 8)}
		ledger.Open(id)
		ledger.Start(id)
		ledger.Finish(id, claim.Record{Body: body})
	}
	first, _ := ledger.Lookup(claim.ID{})
	assert.Equal(t, first, claim.StateUnknown)
	last, _ := ledger.Lookup(claim.ID{byte(999 & 0xff), byte(999 >> 8)})
	assert.Equal(t, last, claim.StateDone)
}

// TestKeyOutlivedBySlot checks that no key can be used after its slot may have
// lapsed, however the clocks differ within the skew.
func TestKeyOutlivedBySlot(t *testing.T) {
	key := uuid.Must(uuid.NewV7())
	seconds, nanoseconds := key.Time().UnixTime()
	birth := time.Unix(seconds, nanoseconds)
	earliestClaim := birth.Add(-claim.MaxClockSkew)
	lapse := earliestClaim.Add(claim.Retention)
	_, err := claim.NewOrder("a", "r", key.String(), nil, lapse.Add(-claim.MaxClockSkew+time.Second))
	assert.ErrorIs(t, err, claim.ErrKeyTooOld)
	_, err = claim.NewOrder("a", "r", key.String(), nil, birth.Add(claim.MaxKeyAge-time.Second))
	assert.NilError(t, err)
	_, err = claim.NewOrder("a", "r", key.String(), nil, birth.Add(-claim.MaxClockSkew-time.Second))
	assert.ErrorIs(t, err, claim.ErrKeyTooNew)
}

func TestOrdersAreToldApart(t *testing.T) {
	key := uuid.Must(uuid.NewV7()).String()
	now := time.Now()
	base, err := claim.NewOrder("a", "r", key, []byte("body"), now)
	assert.NilError(t, err)
	account, err := claim.NewOrder("b", "r", key, []byte("body"), now)
	assert.NilError(t, err)
	route, err := claim.NewOrder("a", "s", key, []byte("body"), now)
	assert.NilError(t, err)
	body, err := claim.NewOrder("a", "r", key, []byte("other"), now)
	assert.NilError(t, err)
	assert.Assert(t, base.Fingerprint != account.Fingerprint)
	assert.Assert(t, base.Fingerprint != route.Fingerprint)
	assert.Assert(t, base.Fingerprint == body.Fingerprint && base.Body != body.Body)
}

func FuzzDecode(f *testing.F) {
	value, _ := claim.Bucket{Lease: 3, Claims: []claim.Claim{claimOf(1, 2)}}.Encode()
	f.Add(value)
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x02, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		bucket, err := claim.Decode(data)
		if err != nil {
			return
		}
		written, err := bucket.Encode()
		assert.NilError(t, err)
		again, err := claim.Decode(written)
		assert.NilError(t, err)
		assert.Equal(t, len(again.Claims), len(bucket.Claims))
	})
}
