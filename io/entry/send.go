package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"balsamproxy"
	"balsamproxy/core/membership"
	"balsamproxy/core/placement"
	"balsamproxy/core/suspect"
	"balsamproxy/task"
)

const (
	// fullTargetsMax is how many full targets are tried before the request is
	// queued at one of them.
	fullTargetsMax = 3
	// firstWaitDivisor limits the wait at a target to a fraction of the
	// objective while there are other targets to try.
	firstWaitDivisor = 16
	// nestedMaxWait is the maximum wait of a nested call at a target: its
	// deadline is short, and an entire request depends on it.
	nestedMaxWait = 60 * time.Millisecond
	// noTargetPollInterval is the interval between lookups while there is no
	// target.
	noTargetPollInterval = 50 * time.Millisecond
	// noTargetTimeout is how long a request waits for a target to appear.
	noTargetTimeout = 400 * time.Millisecond
	// overloadedRetryAfter is the Retry-After if there is no target, and the
	// minimum if all targets are full or the request has not run.
	overloadedRetryAfter = 200 * time.Millisecond
)

// attempts is the state of the attempts of one request.
type attempts struct {
	// sent is the number of targets that the request was sent to.
	sent int
	// mayHaveRun reports whether one of them may have run it.
	mayHaveRun bool
	excluded   []balsamproxy.TargetID
	tried      []balsamproxy.TargetID
	// lastSent is when the last attempt began.
	lastSent time.Time
	last     *balsamproxy.Refusal
	// fullTarget is the full target with the shortest expected wait.
	fullTarget membership.Endpoint
	fullWait   time.Duration
	fullCount  int
}

func (attempts *attempts) names() []string {
	names := make([]string, 0, len(attempts.tried))
	for _, target := range attempts.tried {
		names = append(names, string(target))
	}
	return names
}

// send tries one target after another until one responds.
func (transaction *transaction) send(ctx context.Context) *balsamproxy.Refusal {
	transaction.service = transaction.entry.Split.Next(transaction.route)
	for {
		if refusal := transaction.checkHeld(); refusal != nil {
			return transaction.finalRefusal(refusal)
		}
		endpoint, maxWait, refusal := transaction.choose(ctx)
		if refusal == nil {
			refusal = transaction.renewPermit(ctx)
		}
		if refusal != nil {
			return transaction.finalRefusal(refusal)
		}
		response, refusal := transaction.attempt(transaction.context, endpoint, maxWait)
		if refusal == nil {
			if transaction.shouldRetryResponse(ctx, response) {
				continue
			}
			transaction.response = response
			return nil
		}
		if !transaction.handleRefusal(ctx, endpoint, refusal) {
			return transaction.finalRefusal(refusal)
		}
	}
}

// renewPermit takes another token if the permit has expired before the request
// was sent to any target, because it waited for one or this process was delayed.
func (transaction *transaction) renewPermit(ctx context.Context) *balsamproxy.Refusal {
	if len(transaction.attempts.tried) > 0 || !transaction.permit.Expired(transaction.entry.Boot.Boot().Time()) {
		return nil
	}
	return transaction.spendAllowance(ctx)
}

// checkHeld refuses the request if it crashed too many targets to be sent.
func (transaction *transaction) checkHeld() *balsamproxy.Refusal {
	now := transaction.entry.Clock.Now()
	until, held := transaction.entry.Crashes.HeldUntil(transaction.fingerprint(), now)
	if !held {
		return nil
	}
	refusal := balsamproxy.NotRun(balsamproxy.ReasonRequestCrashedTargets, "the request crashed the targets that ran it")
	refusal.RetryAfter = suspect.RetryAfter(until, now)
	return refusal
}

// fingerprint returns the fingerprint of the request, which is computed once.
func (transaction *transaction) fingerprint() suspect.Fingerprint {
	if transaction.knownFingerprint == nil {
		fingerprint := suspect.FingerprintOf(balsamproxy.CallHead{
			Account: transaction.account,
			Service: transaction.service,
			Method:  transaction.request.Head.Method,
			Path:    transaction.requestTarget(),
		}, transaction.request.Body.NewReader())
		transaction.knownFingerprint = &fingerprint
	}
	return *transaction.knownFingerprint
}

// choose returns the next target and the maximum wait there.
func (transaction *transaction) choose(ctx context.Context) (membership.Endpoint, time.Duration, *balsamproxy.Refusal) {
	entry := transaction.entry
	attempts := &transaction.attempts
	start := entry.Clock.Now()
	for {
		if isRecalled(ctx) {
			return membership.Endpoint{}, 0, recalledRefusal()
		}
		now := entry.Clock.Now()
		if attempts.fullCount >= fullTargetsMax {
			return transaction.chooseFullTarget()
		}
		endpoints := entry.endpoints(transaction.service)
		choice, found := entry.Chooser.Choose(endpoints, transaction.placementCall(), entry.Random, now)
		if found {
			entry.recordChoice(choice)
			return choice.Endpoint, transaction.maxWait(choice, endpoints), nil
		}
		if attempts.fullCount > 0 {
			return transaction.chooseFullTarget()
		}
		if len(attempts.tried) > 0 || now.Sub(start) > noTargetTimeout || ctx.Err() != nil {
			refusal := balsamproxy.NotRun(balsamproxy.ReasonNoTarget, "no target of the service takes work")
			refusal.RetryAfter = overloadedRetryAfter
			return membership.Endpoint{}, 0, refusal
		}
		task.Sleep(ctx, noTargetPollInterval)
	}
}

// endpoints returns the targets of a service that may receive work.
func (entry *Entry) endpoints(service balsamproxy.ServiceID) []membership.Endpoint {
	endpoints := entry.Members.Endpoints(service)
	if entry.Evacuations == nil || !entry.Evacuations.Any() {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(endpoint membership.Endpoint) bool {
		return entry.Evacuations.Contains(endpoint.DataCentre)
	})
}

// placementCall returns the properties of the request that placement depends on.
func (transaction *transaction) placementCall() placement.Call {
	return placement.Call{
		Route:     transaction.route.ID,
		Bytes:     int(transaction.request.Body.Len()),
		Objective: transaction.objective(),
		Excluded:  transaction.attempts.excluded,
		Tried:     transaction.attempts.tried,
	}
}

// objective returns the latency objective, limited to the route's timeout and
// the caller's timeout.
func (transaction *transaction) objective() time.Duration {
	return min(transaction.route.EffectiveObjective(), transaction.deadline.Sub(transaction.request.ReadAt))
}

// maxWait returns the maximum wait at the next target. It is short while there
// are other targets to try, and zero if one of them probably has a free slot.
func (transaction *transaction) maxWait(choice placement.Choice, endpoints []membership.Endpoint) time.Duration {
	if choice.Handover {
		return 0
	}
	if transaction.nested {
		return nestedMaxWait
	}
	if len(endpoints) <= len(transaction.attempts.excluded)+1 {
		return transaction.remainingObjective()
	}
	return transaction.objective() / firstWaitDivisor
}

// objectiveLeft returns the time left until the objective is missed, zero if
// the request is nested or cannot meet it.
func (transaction *transaction) objectiveLeft() time.Duration {
	if transaction.nested {
		return 0
	}
	return transaction.remainingObjective()
}

// remainingObjective returns the time left until the objective is missed. It is
// the maximum wait if there is no other target to try.
func (transaction *transaction) remainingObjective() time.Duration {
	waited := transaction.entry.Clock.Now().Sub(transaction.request.ReadAt)
	return max(transaction.objective()-waited, 0)
}

// chooseFullTarget returns the full target with the shortest expected wait. It
// returns each recorded target once.
func (transaction *transaction) chooseFullTarget() (membership.Endpoint, time.Duration, *balsamproxy.Refusal) {
	attempts := &transaction.attempts
	endpoint := attempts.fullTarget
	maxWait := transaction.remainingObjective()
	if transaction.nested {
		maxWait = min(maxWait, nestedMaxWait)
	}
	if endpoint.Target.ID == "" || attempts.fullWait > maxWait {
		refusal := balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "all targets of the service are full")
		refusal.RetryAfter = max(attempts.fullWait, overloadedRetryAfter)
		return endpoint, 0, refusal
	}
	attempts.fullTarget = membership.Endpoint{}
	return endpoint, maxWait, nil
}

// attempt sends the request to one target.
func (transaction *transaction) attempt(ctx context.Context, endpoint membership.Endpoint, maxWait time.Duration) (*balsamproxy.Response, *balsamproxy.Refusal) {
	entry := transaction.entry
	start := entry.Clock.Now()
	target := endpoint.Target.ID
	transaction.attempts.tried = append(transaction.attempts.tried, target)
	entry.Chooser.Begin(target, start)
	transaction.attempts.lastSent = start
	call := balsamproxy.Call{
		Head:     transaction.head(target, maxWait),
		Body:     transaction.request.Body.NewReader(),
		Recalled: transaction.recalled,
	}
	response, err := transaction.forward(ctx, endpoint.Host, call)
	now := entry.Clock.Now()
	if err != nil {
		refusal := refusalOf(err)
		entry.Chooser.End(transaction.completion(target, outcomeOf(ctx, refusal), now.Sub(start), refusal.Load), now)
		return nil, refusal
	}
	transaction.recordSent()
	outcome := placement.Answered
	switch {
	case response.Head.DependencyFailed:
		outcome = placement.Inconclusive
	case response.Head.Status >= http.StatusInternalServerError:
		outcome = placement.Failed
	}
	entry.Chooser.End(transaction.completion(target, outcome, now.Sub(start), response.Head.Load), now)
	return response, nil
}

func (transaction *transaction) completion(target balsamproxy.TargetID, outcome placement.Outcome, duration time.Duration, load balsamproxy.Load) placement.Completion {
	return placement.Completion{
		Target: target, Service: transaction.service, Route: transaction.route.ID, Outcome: outcome, Duration: duration, Load: load,
	}
}

// recordSent counts a target that the request was sent to; the first one adds to
// the retry budget.
func (transaction *transaction) recordSent() {
	if transaction.attempts.sent == 0 {
		transaction.entry.Budget.RecordAttempt(transaction.service)
	}
	transaction.attempts.sent++
}

func (transaction *transaction) forward(ctx context.Context, host balsamproxy.HostID, call balsamproxy.Call) (*balsamproxy.Response, error) {
	if host == transaction.entry.Host {
		return transaction.entry.Local.Forward(ctx, call)
	}
	return transaction.entry.Remote.ForwardTo(ctx, host, call)
}

func (transaction *transaction) head(target balsamproxy.TargetID, maxWait time.Duration) balsamproxy.CallHead {
	return balsamproxy.CallHead{
		RequestID:     transaction.caller.RequestID,
		Root:          transaction.entry.Host,
		Account:       transaction.account,
		Route:         transaction.route.ID,
		Service:       transaction.service,
		Target:        target,
		Priority:      transaction.index.Priority(transaction.account, transaction.route),
		Timeout:       transaction.deadline.Sub(transaction.entry.Clock.Now()),
		Method:        transaction.request.Head.Method,
		Path:          transaction.requestTarget(),
		Header:        transaction.header,
		ContentLength: transaction.request.Body.Len(),
		Authority:     transaction.request.Head.Host,
		Caller:        transaction.entry.Service(),
		Nested:        transaction.nested,
		MaxQueueWait:  maxWait,
		Objective:     transaction.objectiveLeft(),
		Idempotent:    transaction.route.Idempotent,
	}
}
