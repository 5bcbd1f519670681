package allowance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamproxy/core/allowance"
)

// term returns the term of the test's account from an instant on.
func term(since time.Time) allowance.Term {
	return allowance.Term{Group: allowance.GroupOf(account), Since: since}
}

// movingHome is one account whose home moves between hosts. Floors are written to
// a store that answers late, or not before the home ends.
type movingHome struct {
	now        time.Time
	share      allowance.Share
	lender     *allowance.Lender
	since      time.Time
	purse      allowance.LoanCache
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
	if moving.purse.Spend(account, moving.now) {
		return true
	}
	request := moving.purse.Request(account, "home", 1, moving.now)
	answer := moving.lender.Lend(request, moving.share, moving.now)
	return moving.purse.AddGranted(account, "home", answer, moving.now, moving.now, 1) == 1
}

func (moving *movingHome) spendMany(own bool, count int) {
	for range count {
		moving.spend(own)
	}
}

// offer begins to write the floors that suit the levels.
func (moving *movingHome) offer() {
	floors, change := moving.lender.WantedFloors(term(moving.since), moving.now)
	if change != allowance.FloorsUnchanged {
		moving.lender.RaiseFloors(term(moving.since), floors)
		moving.sent = floors
	}
}

// settle lets the store take what was sent.
func (moving *movingHome) settle(answered bool) {
	if moving.sent == nil {
		return
	}
	moving.stored = moving.sent
	if answered {
		moving.lender.SetFloors(term(moving.since), moving.sent)
		moving.sent = nil
	}
}

// move ends the home, with or without its knowledge, and opens the next one.
func (moving *movingHome) move(planned bool) {
	left := moving.stored
	if planned {
		left = moving.lender.Close(term(moving.since), moving.now)
		// A request that found this home a moment ago gets nothing.
		moving.spend(true)
		moving.spend(false)
	}
	moving.lender = &allowance.Lender{}
	moving.since = moving.now
	moving.lender.Open(account, moving.share, allowance.Remainder{Tokens: left[account]}, moving.now)
	moving.stored, moving.sent = nil, nil
	moving.purse.Borrower.Incarnation += "+"
}

// step makes one step of a schedule.
func (moving *movingHome) step(name string, requests, milliseconds int) {
	switch name {
	case "spend", "lend":
		moving.spendMany(name == "spend", requests)
	case "pause":
		moving.now = moving.now.Add(time.Duration(milliseconds) * time.Millisecond)
	case "offer":
		moving.offer()
	case "settle", "unsettled":
		moving.settle(name == "settle")
	case "kill", "stop":
		moving.move(name == "stop")
	}
}

// TestMovingHome moves the home of an account at any moment and checks every
// window of the admissions, while loans of former homes are still spent.
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
		if over := excess(moving.admissions, limits); over > rounding {
			t.Fatalf("%g requests over rate and burst", over)
		}
	})
}

// TestNextHomeBeginsWithWhatWasLeft checks what a home that follows may spend
// at once, of a burst of 100.
func TestNextHomeBeginsWithWhatWasLeft(t *testing.T) {
	cases := map[string]struct {
		spent   int
		planned bool
		want    int
	}{
		"killed while calm":         {spent: 10, want: 40},
		"killed while it was short": {spent: 60, want: 0},
		"stopped while calm":        {spent: 10, planned: true, want: 90},
		"stopped while short":       {spent: 95, planned: true, want: 5},
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
			moving.offer()
			moving.settle(true)
			moving.move(test.planned)
			moving.admissions = nil
			for range 100 {
				moving.spend(true)
			}
			assert.Equal(t, len(moving.admissions), test.want)
		})
	}
}

// TestRefusedCallersAreSpread plays a surge of 30 requests at once on an account
// with 10 tokens a second: those that are refused are told to come back one
// after another, when there will be tokens for them.
func TestRefusedCallersAreSpread(t *testing.T) {
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
	// What is told later counts the tokens that have come meanwhile.
	assert.Assert(t, !lender.Spend(account, share, now))
	assert.Assert(t, lender.Spend(account, share, now.Add(time.Second)))
	assert.Equal(t, lender.RetryAfter(account) < 1200*time.Millisecond, true)
}
