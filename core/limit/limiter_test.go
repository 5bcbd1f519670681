package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/limit"
)

var start = time.Unix(1_000_000, 0)

func request(ticket limit.Ticket, account balsamproxy.ClientAccountID, priority balsamproxy.Priority) limit.Request {
	return limit.Request{Ticket: ticket, Account: account, Priority: priority, Deadline: start.Add(time.Second)}
}

// fill submits requests and checks that each gets the wanted verdict.
func fill(t *testing.T, limiter *limit.Limiter, want limit.Verdict, requests ...limit.Request) {
	t.Helper()
	for _, request := range requests {
		verdict, _ := limiter.Acquire(request, start)
		assert.Equal(t, verdict, want)
	}
}

func TestFullQueue(t *testing.T) {
	cases := map[string]struct {
		waiting []limit.Request
		next    limit.Request
		verdict limit.Verdict
		evicted []limit.Decision
	}{
		"higher priority takes the place of the lowest": {
			[]limit.Request{request(2, "a", 5), request(3, "a", 1)}, request(4, "a", 8),
			limit.Waiting, []limit.Decision{{Ticket: 3, Verdict: limit.Shed}},
		},
		"lower priority is shed": {
			[]limit.Request{request(2, "a", 5), request(3, "b", 5)}, request(4, "c", 4), limit.Shed, nil,
		},
		"account with most queued calls is evicted": {
			[]limit.Request{request(2, "a", 5), request(3, "a", 5)}, request(4, "b", 5),
			limit.Waiting, []limit.Decision{{Ticket: 3, Verdict: limit.Shed}},
		},
		"same account is shed": {
			[]limit.Request{request(2, "a", 5), request(3, "a", 5)}, request(4, "a", 5), limit.Shed, nil,
		},
		"equal accounts are not evicted": {
			[]limit.Request{request(2, "a", 5), request(3, "b", 5)}, request(4, "c", 5), limit.Shed, nil,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			limiter := &limit.Limiter{}
			limiter.SetSlots(2, false, start)
			fill(t, limiter, limit.Admitted, request(100, "x", 5), request(101, "x", 5))
			fill(t, limiter, limit.Waiting, test.waiting...)
			verdict, evicted := limiter.Acquire(test.next, start)
			assert.Equal(t, verdict, test.verdict)
			assert.DeepEqual(t, evicted, test.evicted)
		})
	}
}

func TestOrderOfAdmission(t *testing.T) {
	limiter := &limit.Limiter{}
	limiter.SetSlots(3, false, start)
	fill(t, limiter, limit.Admitted, request(1, "a", 5), request(2, "a", 5), request(3, "b", 5))
	fill(t, limiter, limit.Waiting, request(4, "a", 5), request(5, "b", 5), request(6, "a", 8))
	order := []limit.Ticket{}
	for range 3 {
		for _, decision := range limiter.Release(limit.Completion{Account: "a"}, start) {
			order = append(order, decision.Ticket)
		}
	}
	assert.DeepEqual(t, order, []limit.Ticket{6, 4, 5})
}

// TestBackgroundCalls submits health checks while customer requests fill the
// queue: the first few rank above all customer requests, further ones below.
func TestBackgroundCalls(t *testing.T) {
	check := func(ticket limit.Ticket) limit.Request {
		request := request(ticket, "", 0)
		request.Background = true
		return request
	}
	limiter := &limit.Limiter{}
	limiter.SetSlots(2, false, start)
	fill(t, limiter, limit.Admitted, request(1, "a", 9), request(2, "a", 9))
	fill(t, limiter, limit.Waiting, request(3, "a", 9), request(4, "a", 9))
	verdict, evicted := limiter.Acquire(check(5), start)
	assert.Equal(t, verdict, limit.Waiting)
	assert.DeepEqual(t, evicted, []limit.Decision{{Ticket: 4, Verdict: limit.Shed}})
	admitted := limiter.Release(limit.Completion{Account: "a"}, start)
	assert.DeepEqual(t, admitted, []limit.Decision{{Ticket: 5, Verdict: limit.Admitted}})
	fill(t, limiter, limit.Waiting, check(6))
	verdict, evicted = limiter.Acquire(request(7, "b", 0), start)
	assert.Equal(t, verdict, limit.Waiting)
	assert.DeepEqual(t, evicted, []limit.Decision{{Ticket: 6, Verdict: limit.Shed}})
	admitted = limiter.Release(limit.Completion{Background: true}, start)
	assert.DeepEqual(t, admitted, []limit.Decision{{Ticket: 3, Verdict: limit.Admitted}})
}

func TestTooLate(t *testing.T) {
	limiter := &limit.Limiter{}
	limiter.SetSlots(1, false, start)
	fill(t, limiter, limit.Admitted, request(1, "a", 5))
	fill(t, limiter, limit.Waiting, request(2, "a", 5))
	verdict, _ := limiter.Acquire(request(3, "a", 5), start.Add(time.Second))
	assert.Equal(t, verdict, limit.Expired)
	decisions := limiter.Release(limit.Completion{Account: "a", Duration: 800 * time.Millisecond}, start.Add(800*time.Millisecond))
	assert.DeepEqual(t, decisions, []limit.Decision{{Ticket: 2, Verdict: limit.Expired}})
	assert.Assert(t, !limiter.Cancel(2))
	assert.Equal(t, limiter.Load(), balsamproxy.Load{Limit: 1})
}

func TestAbandon(t *testing.T) {
	limiter := &limit.Limiter{}
	limiter.SetSlots(1, false, start)
	fill(t, limiter, limit.Admitted, request(1, "a", 5))
	fill(t, limiter, limit.Waiting, request(2, "a", 5))
	assert.Assert(t, limiter.Cancel(2))
	assert.Equal(t, len(limiter.Release(limit.Completion{Account: "a"}, start)), 0)
}

// TestLimitFollowsTheTarget checks the limit of a saturated target after
// timely and timed-out calls.
func TestLimitFollowsTheTarget(t *testing.T) {
	cases := map[string]struct {
		cold bool
		late func(call int) bool
		took time.Duration
		want func(limit int) bool
	}{
		"in time":                 {false, func(int) bool { return false }, 0, func(limit int) bool { return limit == 100 }},
		"all time out":            {false, func(int) bool { return true }, time.Second, func(limit int) bool { return limit == 1 }},
		"time out, then recover":  {false, func(call int) bool { return call < 2_000 }, time.Second, func(limit int) bool { return limit == 100 }},
		"cold, then warm":         {true, func(int) bool { return false }, 0, func(limit int) bool { return limit == 100 }},
		"nine in ten time out":    {false, func(call int) bool { return call > 0 && call%10 < 9 }, time.Second, func(limit int) bool { return limit < 50 }},
		"time out after queueing": {false, func(call int) bool { return call > 0 && call%10 < 9 }, 20 * time.Millisecond, func(limit int) bool { return limit == 100 }},
		"single time-out":         {false, func(call int) bool { return call == 10 }, time.Second, func(limit int) bool { return limit == 100 }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			limiter := &limit.Limiter{}
			limiter.SetSlots(100, test.cold, start)
			now := start
			for call := range 20_000 {
				for limiter.Load().InFlight < limiter.Load().Limit {
					limiter.Acquire(limit.Request{Account: "a", Deadline: now.Add(time.Hour)}, now)
				}
				now = now.Add(10 * time.Millisecond)
				ended := limit.Completion{Account: "a", Duration: 10 * time.Millisecond}
				if test.late(call) {
					ended.TimedOut = true
					ended.Duration = test.took
				}
				limiter.Release(ended, now)
			}
			assert.Assert(t, test.want(limiter.Load().Limit), "limit %d", limiter.Load().Limit)
		})
	}
}

func TestColdTargetStartsSmall(t *testing.T) {
	limiter := &limit.Limiter{}
	limiter.SetSlots(100, true, start)
	assert.Equal(t, limiter.Load().Limit, 10)
	limiter.SetSlots(100, false, start)
	assert.Equal(t, limiter.Load().Limit, 10)
}
