package allowance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamproxy/core/allowance"
)

// term returns the term of the test account that starts at an instant.
func term(since time.Time) allowance.Term {
	return allowance.Term{Group: allowance.GroupOf(account), Since: since}
}

// movingHome simulates one account whose home moves between hosts. Floors are
// written to a store that may respond late, or only after the home has ended.
type movingHome struct {
	now        time.Time
	share      allowance.Share
	lender     *allowance.Lender
	since      time.Time
	cache      allowance.LoanCache
	stored     allowance.Floors
	sent       allowance.Floors
	admissions []time.Time
}

func (moving *movingHome) spend(own bool) {
	if moving.admits(own) {
		moving.admissions = append(moving.admissions, moving.now)
	}
}

func (moving *movingHome) admits(own bool) bool {
	if own {
		return moving.lender.Spend(account, moving.share, moving.now)
	}
	if moving.cache.Spend(account, moving.now) {
		return true
	}
	request := moving.cache.Request(account, "home", 1, moving.now)
	answer := moving.lender.Lend(request, moving.share, moving.now)
	return moving.cache.AddGranted(account, "home", answer, moving.now, moving.now, 1) == 1
}

func (moving *movingHome) spendMany(own bool, count int) {
	for range count {
		moving.spend(own)
	}
}

// proposeFloors starts to write the floors for the current levels.
func (moving *movingHome) proposeFloors() {
	floors, change := moving.lender.WantedFloors(term(moving.since), moving.now)
	if change != allowance.FloorsUnchanged {
		moving.lender.RaiseFloors(term(moving.since), floors)
		moving.sent = floors
	}
}

// storeFloors writes the proposed floors to the store. If answered is set, the
// home receives the response.
func (moving *movingHome) storeFloors(answered bool) {
	if moving.sent == nil {
		return
	}
	moving.stored = moving.sent
	if answered {
		moving.lender.SetFloors(term(moving.since), moving.sent)
		moving.sent = nil
	}
}

// moveHome ends the home and opens the next one. If planned is set, the home
// is closed first; otherwise it ends without notice.
func (moving *movingHome) moveHome(planned bool) {
	remaining := moving.stored
	if planned {
		remaining = moving.lender.Close(term(moving.since), moving.now)
		// Requests that still reach the closed home must get no tokens.
		moving.spend(true)
		moving.spend(false)
	}
	moving.lender = &allowance.Lender{}
	moving.since = moving.now
	moving.lender.Open(account, moving.share, allowance.Remainder{Tokens: remaining[account]}, moving.now)
	moving.stored, moving.sent = nil, nil
	moving.cache.Borrower.Incarnation += "+"
}

// step executes one step of a schedule.
func (moving *movingHome) step(name string, requests, milliseconds int) {
	switch name {
	case "spend", "lend":
		moving.spendMany(name == "spend", requests)
	case "pause":
		moving.now = moving.now.Add(time.Duration(milliseconds) * time.Millisecond)
	case "offer":
		moving.proposeFloors()
	case "settle", "unsettled":
		moving.storeFloors(name == "settle")
	case "kill", "stop":
		moving.moveHome(name == "stop")
	}
}

// TestMovingHome moves the home of an account at random instants while loans of
// previous homes are still being spent. It checks that no time window has more
// admissions than rate and burst permit.
func TestMovingHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := allowance.Limits{Rate: rapid.IntRange(1, 200).Draw(t, "rate"), Burst: rapid.IntRange(1, 200).Draw(t, "burst")}
		moving := &movingHome{now: time.Unix(1_000_000, 0), lender: &allowance.Lender{}}
		moving.since = moving.now
		moving.share = allowance.ShareOf(limits.Rate, limits.Burst, 0, 1)
		moving.lender.Open(account, moving.share, allowance.Remainder{Full: true}, moving.now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := rapid.SampledFrom([]string{"spend", "lend", "pause", "offer", "settle", "unsettled", "kill", "stop"}).Draw(t, "step")
			moving.step(step, rapid.IntRange(1, limits.Burst).Draw(t, "requests"), rapid.IntRange(1, 1500).Draw(t, "milliseconds"))
		}
		if over := excess(moving.admissions, limits); over > tolerance {
			t.Fatalf("%g requests over rate and burst", over)
		}
	})
}

// TestNextHomeStartsWithRemainder checks how much of a burst of 100 the next
// home may spend at once.
func TestNextHomeStartsWithRemainder(t *testing.T) {
	cases := map[string]struct {
		spent   int
		planned bool
		want    int
	}{
		"killed with few tokens spent":   {spent: 10, want: 40},
		"killed with many tokens spent":  {spent: 60, want: 0},
		"stopped with few tokens spent":  {spent: 10, planned: true, want: 90},
		"stopped with many tokens spent": {spent: 95, planned: true, want: 5},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			moving := &movingHome{now: time.Unix(1_000_000, 0), lender: &allowance.Lender{}}
			moving.since = moving.now
			moving.share = allowance.ShareOf(1, 100, 0, 1)
			moving.lender.Open(account, moving.share, allowance.Remainder{Full: true}, moving.now)
			for range test.spent {
				moving.spend(true)
			}
			moving.proposeFloors()
			moving.storeFloors(true)
			moving.moveHome(test.planned)
			moving.admissions = nil
			for range 100 {
				moving.spend(true)
			}
			assert.Equal(t, len(moving.admissions), test.want)
		})
	}
}

// TestRetryDelaysAreStaggered sends 30 requests at once on an account with 10
// tokens per second. The refused requests must get increasing retry delays that
// match the refill, so that they are not all retried at the same time.
func TestRetryDelaysAreStaggered(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	share := allowance.ShareOf(10, 10, 0, 1)
	var lender allowance.Lender
	lender.Open(account, share, allowance.Remainder{Full: true}, now)
	var waits []time.Duration
	for range 30 {
		if !lender.Spend(account, share, now) {
			waits = append(waits, lender.RetryAfter(account))
		}
	}
	assert.Equal(t, len(waits), 20)
	assert.Equal(t, waits[0], 100*time.Millisecond)
	assert.Equal(t, waits[19], 2*time.Second)
	// Later retry delays account for the tokens refilled since.
	assert.Assert(t, !lender.Spend(account, share, now))
	assert.Assert(t, lender.Spend(account, share, now.Add(time.Second)))
	assert.Equal(t, lender.RetryAfter(account) < 1200*time.Millisecond, true)
}
