package entry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"balsamproxy"
	"balsamproxy/core/membership"
	"balsamproxy/core/placement"
	"balsamproxy/core/suspect"
	"balsamproxy/task"
)

const (
	// probesMax is how many full doors are asked before the request waits at
	// one of them.
	probesMax = 3
	// firstPatience is the part of the objective that a request waits at the
	// first door before it asks another.
	firstPatience = 16
	// nestedPatience is how long a call of a target waits at a door: its
	// deadline is short, and a whole request hangs on it.
	nestedPatience = 60 * time.Millisecond
	// targetlessPause is the wait before targets are looked for again.
	targetlessPause = 50 * time.Millisecond
	// targetlessMax is how long a request waits for a target to appear.
	targetlessMax = 400 * time.Millisecond
	// fullRetry is the least time after which a caller that found all doors
	// full should come back.
	fullRetry = 200 * time.Millisecond
	// suspectRetry is when a caller whose request crashed targets may ask
	// again; it is long, since the request will be refused again.
	suspectRetry = 30 * time.Second
	// repeatPart is the part of the time to the deadline after which a failed
	// answer is not repeated any more.
	repeatPart = 2
)

// attempts is what is known of the attempts of one request.
type attempts struct {
	// arrived counts the targets that were sent the request.
	arrived int
	// mayHaveRun says that one of them may have run it.
	mayHaveRun bool
	excluded   []balsamproxy.TargetID
	tried      []balsamproxy.TargetID
	last       *balsamproxy.Refusal
	// full is the target with the least wait among those that were full.
	full     membership.Endpoint
	fullWait time.Duration
	fulls    int
}

func (attempts *attempts) names() []string {
	names := make([]string, 0, len(attempts.tried))
	for _, target := range attempts.tried {
		names = append(names, string(target))
	}
	return names
}

// send tries one target after another until one answers.
func (visit *visit) send(ctx context.Context) *balsamproxy.Refusal {
	visit.service = visit.entry.Split.Next(visit.route)
	for {
		if visit.blocked() {
			refusal := balsamproxy.NotRun(balsamproxy.ReasonRequestCrashedTargets, "the request crashed the targets that ran it")
			refusal.RetryAfter = suspectRetry
			return visit.outcome(refusal)
		}
		endpoint, patience, refusal := visit.choose(ctx)
		if refusal != nil {
			return visit.outcome(refusal)
		}
		answer, refusal := visit.try(ctx, endpoint, patience)
		if refusal == nil {
			if visit.repeats(ctx, answer) {
				continue
			}
			visit.answer = answer
			return nil
		}
		if !visit.again(ctx, endpoint, refusal) {
			return visit.outcome(refusal)
		}
	}
}

// blocked says whether the request crashed too many targets to be tried.
func (visit *visit) blocked() bool {
	return visit.entry.Crashes.Blocked(visit.fingerprint(), visit.entry.Clock.Now())
}

func (visit *visit) fingerprint() suspect.Fingerprint {
	return suspect.FingerprintOf(balsamproxy.CallHead{
		Account: visit.account,
		Service: visit.service,
		Method:  visit.request.Head.Method,
		Path:    visit.target(),
	}, visit.request.Body)
}

// choose returns the next target and how long to wait there.
func (visit *visit) choose(ctx context.Context) (membership.Endpoint, time.Duration, *balsamproxy.Refusal) {
	entry := visit.entry
	attempts := &visit.attempts
	began := entry.Clock.Now()
	for {
		now := entry.Clock.Now()
		if attempts.fulls >= probesMax {
			return visit.waitPlace()
		}
		endpoints := entry.Members.Endpoints(visit.service)
		endpoint, found := entry.Chooser.Choose(endpoints, visit.placed(), entry.Random, now)
		if found {
			return endpoint, visit.patience(endpoints), nil
		}
		if attempts.fulls > 0 {
			return visit.waitPlace()
		}
		if len(attempts.tried) > 0 || now.Sub(began) > targetlessMax || !task.Sleep(ctx, targetlessPause) {
			refusal := balsamproxy.NotRun(balsamproxy.ReasonNoTarget, "no target of the service takes work")
			refusal.RetryAfter = fullRetry
			return membership.Endpoint{}, 0, refusal
		}
	}
}

// placed tells what matters of the request for its place.
func (visit *visit) placed() placement.Call {
	return placement.Call{
		Route:     visit.route.ID,
		Bytes:     len(visit.request.Body),
		Objective: visit.objective(),
		Excluded:  visit.attempts.excluded,
		Tried:     visit.attempts.tried,
	}
}

// objective returns the time within which an answer is worth most: it cannot
// be longer than the route's time-out or than the caller waits.
func (visit *visit) objective() time.Duration {
	return min(visit.route.EffectiveObjective(), visit.deadline.Sub(visit.request.ReadAt))
}

// patience returns how long to wait at a door while others have not been
// asked.
func (visit *visit) patience(endpoints []membership.Endpoint) time.Duration {
	if visit.nested {
		return nestedPatience
	}
	if len(endpoints) <= len(visit.attempts.excluded)+1 {
		return visit.lastPatience()
	}
	return visit.objective() / firstPatience
}

// lastPatience returns how long to wait where nothing else is left: until an
// answer could not come in time for its objective.
func (visit *visit) lastPatience() time.Duration {
	waited := visit.entry.Clock.Now().Sub(visit.request.ReadAt)
	return max(visit.objective()-waited, 0)
}

// waitPlace returns the full target with the least wait, once.
func (visit *visit) waitPlace() (membership.Endpoint, time.Duration, *balsamproxy.Refusal) {
	attempts := &visit.attempts
	endpoint := attempts.full
	patience := visit.lastPatience()
	if endpoint.Target.ID == "" || attempts.fullWait > patience {
		refusal := balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "all targets of the service are full")
		refusal.RetryAfter = max(attempts.fullWait, fullRetry)
		return endpoint, 0, refusal
	}
	attempts.full = membership.Endpoint{}
	return endpoint, patience, nil
}

// try sends the request to one target.
func (visit *visit) try(ctx context.Context, endpoint membership.Endpoint, patience time.Duration) (*balsamproxy.Response, *balsamproxy.Refusal) {
	entry := visit.entry
	begin := entry.Clock.Now()
	target := endpoint.Target.ID
	visit.attempts.tried = append(visit.attempts.tried, target)
	entry.Chooser.Begin(target, begin)
	call := balsamproxy.Call{Head: visit.head(target, patience), Body: bytes.NewReader(visit.request.Body)}
	answer, err := visit.carry(ctx, endpoint.Host, call)
	now := entry.Clock.Now()
	if err != nil {
		refusal := refusalOf(err)
		entry.Chooser.End(visit.ended(target, outcomeOf(ctx, refusal), now.Sub(begin), refusal.Load), now)
		return nil, refusal
	}
	visit.arrive()
	outcome := placement.Answered
	switch {
	case answer.Head.DependencyFailed:
		outcome = placement.Inconclusive
	case answer.Head.Status >= http.StatusInternalServerError:
		outcome = placement.Failed
	}
	entry.Chooser.End(visit.ended(target, outcome, now.Sub(begin), answer.Head.Load), now)
	return answer, nil
}

func (visit *visit) ended(target balsamproxy.TargetID, outcome placement.Outcome, took time.Duration, load balsamproxy.Load) placement.Completion {
	return placement.Completion{
		Target: target, Service: visit.service, Route: visit.route.ID, Outcome: outcome, Duration: took, Load: load,
	}
}

// arrive counts a target that was sent the request; the first one adds to the
// budget of repeats.
func (visit *visit) arrive() {
	if visit.attempts.arrived == 0 {
		visit.entry.Budget.RecordAttempt(visit.service)
	}
	visit.attempts.arrived++
}

func (visit *visit) carry(ctx context.Context, host balsamproxy.HostID, call balsamproxy.Call) (*balsamproxy.Response, error) {
	if host == visit.entry.Host {
		return visit.entry.Local.Forward(ctx, call)
	}
	return visit.entry.Remote.ForwardTo(ctx, host, call)
}

func (visit *visit) head(target balsamproxy.TargetID, patience time.Duration) balsamproxy.CallHead {
	return balsamproxy.CallHead{
		RequestID:     visit.caller.RequestID,
		Root:          visit.entry.Host,
		Account:       visit.account,
		Route:         visit.route.ID,
		Service:       visit.service,
		Target:        target,
		Priority:      visit.index.Priority(visit.account, visit.route),
		Timeout:       visit.deadline.Sub(visit.entry.Clock.Now()),
		Method:        visit.request.Head.Method,
		Path:          visit.target(),
		Header:        visit.header,
		ContentLength: int64(len(visit.request.Body)),
		Authority:     visit.request.Head.Host,
		Caller:        visit.entry.Service(),
		Nested:        visit.nested,
		MaxQueueWait:  patience,
		Idempotent:    visit.route.Idempotent,
	}
}

// refusalOf returns the refusal in an error; an error of another kind says
// nothing of the outcome.
func refusalOf(err error) *balsamproxy.Refusal {
	var refusal *balsamproxy.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, err.Error())
}

// outcomeOf tells what a refusal shows of its target.
func outcomeOf(ctx context.Context, refusal *balsamproxy.Refusal) placement.Outcome {
	switch refusal.Reason {
	case balsamproxy.ReasonOverloaded:
		if refusal.RefusedByTarget {
			return placement.Failed
		}
		return placement.Refused
	case balsamproxy.ReasonDeadline, balsamproxy.ReasonCancelled:
		if ctx.Err() == context.DeadlineExceeded && refusal.Outcome == balsamproxy.OutcomeMayHaveRun {
			return placement.Failed
		}
		return placement.Inconclusive
	case balsamproxy.ReasonTargetFailed:
		return placement.Failed
	case balsamproxy.ReasonTargetCrashed:
		return placement.Lost
	default:
		// A link that broke or a host that leaves tells nothing of the target;
		// a host that stays away is no longer among those to choose from.
		return placement.Inconclusive
	}
}

// again notes a refusal and says whether another target should be tried.
func (visit *visit) again(ctx context.Context, endpoint membership.Endpoint, refusal *balsamproxy.Refusal) bool {
	attempts := &visit.attempts
	attempts.last = refusal
	ran := refusal.Outcome == balsamproxy.OutcomeMayHaveRun
	attempts.mayHaveRun = attempts.mayHaveRun || ran
	if !refusal.RefusedByTarget || ran {
		attempts.excluded = append(attempts.excluded, endpoint.Target.ID)
	}
	if refusal.Crash != "" {
		visit.entry.Crashes.RecordCrash(visit.fingerprint(), refusal.Crash, visit.entry.Clock.Now())
	}
	if ctx.Err() != nil || refusal.Reason == balsamproxy.ReasonDeadline || refusal.Reason == balsamproxy.ReasonBadRequest {
		return false
	}
	if !ran && !refusal.RefusedByTarget {
		visit.noteFull(endpoint, refusal)
		return attempts.fulls <= probesMax
	}
	visit.arrive()
	if ran && !visit.route.Idempotent {
		return false
	}
	return visit.mayRepeat()
}

// noteFull keeps the full target with the least wait.
func (visit *visit) noteFull(endpoint membership.Endpoint, refusal *balsamproxy.Refusal) {
	attempts := &visit.attempts
	attempts.fulls++
	if refusal.Reason != balsamproxy.ReasonOverloaded {
		return
	}
	if attempts.full.Target.ID == "" || refusal.Load.Wait < attempts.fullWait {
		attempts.full = endpoint
		attempts.fullWait = refusal.Load.Wait
	}
}

// mayRepeat says whether the request may be sent to a further target, and
// spends the budget for that.
func (visit *visit) mayRepeat() bool {
	if visit.attempts.arrived > visit.route.EffectiveRetryLimit() || !visit.entry.Budget.Take(visit.service) {
		return false
	}
	visit.entry.Metrics.Tagged(map[string]string{"kind": visit.kindTag()}).Counter("repeats").Inc(1)
	return true
}

// repeats says whether a failed answer should be tried for elsewhere.
func (visit *visit) repeats(ctx context.Context, answer *balsamproxy.Response) bool {
	failed := answer.Head.Status == http.StatusInternalServerError || answer.Head.Status == http.StatusBadGateway ||
		answer.Head.Status == http.StatusServiceUnavailable
	if !failed || answer.Head.DependencyFailed || !visit.route.Idempotent || ctx.Err() != nil {
		return false
	}
	now := visit.entry.Clock.Now()
	if now.Sub(visit.request.ReadAt) > visit.deadline.Sub(visit.request.ReadAt)/repeatPart {
		return false
	}
	attempts := &visit.attempts
	endpoints := visit.entry.Members.Endpoints(visit.service)
	if len(endpoints) <= 1 {
		return false
	}
	attempts.mayHaveRun = true
	if !visit.mayRepeat() {
		return false
	}
	attempts.excluded = append(attempts.excluded, attempts.tried[len(attempts.tried)-1])
	_ = answer.Body.Close()
	return true
}

// outcome returns the refusal over all attempts: it has not run only if no
// attempt can have.
func (visit *visit) outcome(refusal *balsamproxy.Refusal) *balsamproxy.Refusal {
	final := *refusal
	if visit.attempts.mayHaveRun {
		final.Outcome = balsamproxy.OutcomeMayHaveRun
	}
	if final.Outcome == balsamproxy.OutcomeNotRun && final.RetryAfter < fullRetry {
		final.RetryAfter = fullRetry
	}
	return &final
}
