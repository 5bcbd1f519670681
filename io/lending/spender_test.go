package lending_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/config"
	"balsamproxy/io/events"
	"balsamproxy/io/lending"
)

// ownHome makes this daemon home of all groups.
type ownHome struct {
	since balsamproxy.BootTime
	// validity is how long the tenure lasts; zero is for ever.
	validity  time.Duration
	remainder allowance.Remainder
}

func (ownHome) Home(allowance.Group) (balsamproxy.HostID, bool) { return "own", true }

func (home ownHome) Holds(_ allowance.Group, now balsamproxy.BootTime) (balsamproxy.BootTime, bool) {
	return home.since, home.validity == 0 || now.Sub(home.since) < home.validity
}

func (ownHome) Suspect(allowance.Group) {}

func (home ownHome) Remainder(allowance.Term, balsamproxy.ClientAccountID) allowance.Remainder {
	return home.remainder
}

// endingHome hands its tenure over just after it has been asked for it, and is home
// again afterwards.
type endingHome struct {
	ownHome
	spender *lending.Spender
	asked   int
}

func (home *endingHome) Holds(group allowance.Group, now balsamproxy.BootTime) (balsamproxy.BootTime, bool) {
	home.asked++
	if home.asked > 1 {
		return now, true
	}
	home.spender.Close(allowance.Term{Group: group, Since: home.since.Time()}, home.since)
	return home.since, true
}

// suspendedClock jumps at one of its calls, like the clock of a process that was
// suspended.
type suspendedClock struct {
	calls, suspendAt int
	offset           time.Duration
}

func (clock *suspendedClock) Boot() balsamproxy.BootTime {
	clock.calls++
	if clock.calls == clock.suspendAt {
		clock.offset += 3 * time.Second
	}
	return balsamproxy.SystemClock{}.Boot() + balsamproxy.BootTime(clock.offset)
}

func newSpender(clock balsamproxy.BootClock, remainder allowance.Remainder, log *bytes.Buffer) *lending.Spender {
	spender := &lending.Spender{
		Host: "own", Config: &config.Current{}, Clock: clock,
		Homes:   ownHome{since: balsamproxy.SystemClock{}.Boot(), remainder: remainder},
		Metrics: tally.NoopScope, Events: &events.Log{Logger: zerolog.New(log), Now: time.Now},
	}
	accounts := []config.ClientAccount{{ID: "planner", Rate: 1, Burst: 4}}
	spender.Config.Update(config.NewIndex(&config.Document{ClientAccounts: accounts}, 1))
	return spender
}

// TestSuspendedAfterGrant suspends the process at each instant of an attempt to
// get a token. A permit that has expired meanwhile must not be returned.
func TestSuspendedAfterGrant(t *testing.T) {
	for suspendAt := 1; suspendAt < 12; suspendAt++ {
		clock := &suspendedClock{suspendAt: suspendAt}
		spender := newSpender(clock, allowance.Remainder{Tokens: 4}, &bytes.Buffer{})
		permit, refusal := spender.Spend(t.Context(), "planner")
		assert.Assert(t, refusal == nil)
		clock.suspendAt = 0
		assert.Assert(t, !permit.Expired(clock.Boot().Time()), "suspended at call %d", suspendAt)
	}
}

// TestSuspendedWhileHome suspends the process at each instant of an attempt to spend
// as a home. A home whose tenure has ended meanwhile must not spend any more, and a
// permit from before must have expired.
func TestSuspendedWhileHome(t *testing.T) {
	for suspendAt := 1; suspendAt < 12; suspendAt++ {
		clock := &suspendedClock{suspendAt: suspendAt}
		spender := newSpender(clock, allowance.Remainder{Tokens: 4}, &bytes.Buffer{})
		home := ownHome{since: balsamproxy.SystemClock{}.Boot(), validity: 2 * time.Second, remainder: allowance.Remainder{Tokens: 4}}
		spender.Homes = home
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		permit, refusal := spender.Spend(ctx, "planner")
		cancel()
		now := clock.Boot()
		_, holds := home.Holds(0, now)
		assert.Assert(t, holds || refusal != nil || permit.Expired(now.Time()), "suspended at call %d", suspendAt)
	}
}

// TestRefusalCauses checks that the log tells a request over the rate from one
// that is refused because its home does not know how many tokens were left.
func TestRefusalCauses(t *testing.T) {
	cases := map[string]struct {
		remainder allowance.Remainder
		want      string
	}{
		"over the rate":  {allowance.Remainder{Tokens: 1}, `"reason":"over-rate"`},
		"home took over": {allowance.Remainder{}, `"reason":"home-recovering"`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			log := &bytes.Buffer{}
			spender := newSpender(balsamproxy.SystemClock{}, test.remainder, log)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			for range 2 {
				_, _ = spender.Spend(ctx, "planner")
			}
			assert.Assert(t, strings.Contains(log.String(), test.want), log.String())
			assert.Assert(t, strings.Contains(log.String(), `"home-age"`))
		})
	}
}

// TestTermEndsWhileSpending guards against refusing a request as over the rate because its
// home hands its tenure over between the check that it is the home and the grant.
func TestTermEndsWhileSpending(t *testing.T) {
	spender := newSpender(balsamproxy.SystemClock{}, allowance.Remainder{}, &bytes.Buffer{})
	spender.Homes = &endingHome{spender: spender, ownHome: ownHome{
		since: balsamproxy.SystemClock{}.Boot(), remainder: allowance.Remainder{Tokens: 4},
	}}
	_, refusal := spender.Spend(t.Context(), "planner")
	assert.Assert(t, refusal == nil, "%+v", refusal)
}
