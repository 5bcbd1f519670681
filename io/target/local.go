package target

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/admission"
	"balsamproxy/core/announced"
	"balsamproxy/core/callcost"
	"balsamproxy/core/memory"
	"balsamproxy/task"
)

const (
	// announcementTimeout is how long after its last announcement a target is
	// removed. Targets announce themselves every one to two seconds, and
	// announcements may be delayed by seconds.
	announcementTimeout = 15 * time.Second
	// expireInterval is the interval between expiry checks while calls are
	// queued, idleInterval while none is.
	expireInterval = 20 * time.Millisecond
	idleInterval   = 250 * time.Millisecond
)

// Local forwards calls to the targets of this host. Targets receive calls only
// through it, so it enforces their slot limits exactly. Its exported fields must
// be set.
type Local struct {
	Clock   balsamproxy.Clock
	Dialect balsamproxy.Dialect
	// Changed is called when the published state of a target changes.
	Changed func()
	// Record persists the announcements before a change is acknowledged to the
	// target.
	Record  func()
	Log     zerolog.Logger
	Metrics tally.Scope
	// WarmUpRate returns the calls per second that a cold target of a service takes,
	// zero if there is no limit, and false while no configuration is known; nil means
	// that there is no limit for any service.
	WarmUpRate func(service balsamproxy.ServiceID) (float64, bool)
	// Evacuated reports whether the operator has evacuated the data centre of this
	// host; nil means that it never does.
	Evacuated func() bool
	// Bodies bounds the memory for bodies of responses. A single body gets at
	// most half of it.
	Bodies *memory.Budget
	// Costs records what requests cost at the services that they cause calls to; if
	// nil, neither costs nor pressure are reported.
	Costs *callcost.Ledger

	mutex              sync.Mutex
	table              announced.Table
	queues             map[balsamproxy.TargetID]*admissionQueue
	lastTicket         admission.Ticket
	downstreamFailures admission.DownstreamFailures
	connections        connectionPool
	wakeOnce           sync.Once
	wake               chan struct{}
}

var _ balsamproxy.Forwarder = (*Local)(nil)

// admissionQueue is the admission controller of one target and its queued calls.
type admissionQueue struct {
	controller admission.Controller
	waiting    map[admission.Ticket]chan admission.Verdict
	// cold reports whether the slots are reduced because the target is cold.
	cold bool
}

// Announce applies an announcement. An outdated one is logged and ignored. The error
// wraps announced.ErrInvalid if the announcement names no usable target.
func (local *Local) Announce(announcement balsamproxy.Announcement) error {
	now := local.Clock.Now()
	if announcement.WarmupRemaining > 0 && announcement.Target.State == balsamproxy.TargetReady && local.hasWarmUpRate(announcement.Target.Service) {
		announcement.Target.State = balsamproxy.TargetCold
	}
	local.mutex.Lock()
	before, _ := local.table.State(announcement.Target.ID)
	changed, err := local.table.Announce(announcement, now)
	if err == nil {
		local.updateSlotsLocked(announcement.Target.ID, now)
		local.rejectIfLeavingLocked(announcement.Target.ID)
	}
	local.mutex.Unlock()
	if errors.Is(err, announced.ErrInvalid) {
		return err
	}
	if err != nil {
		local.Log.Info().Str("event", "announcement-ignored").Str("target", string(announcement.Target.ID)).
			Int64("born", announcement.Born).Int64("sequence", announcement.Sequence).Err(err).Send()
		return nil
	}
	if changed || before.Unconfirmed {
		local.Log.Info().Str("event", "target-announced").Str("target", string(announcement.Target.ID)).
			Str("state", string(announcement.Target.State)).Int64("born", announcement.Born).
			Int64("sequence", announcement.Sequence).Int("slots", announcement.Target.Slots).Send()
		// Peers learn only now that a target of the earlier run accepts calls again.
		local.Changed()
	}
	if changed {
		local.Record()
	}
	return nil
}

// Withdraw removes a target that shuts down. The error wraps announced.ErrInvalid if
// the announcement names no target.
func (local *Local) Withdraw(target balsamproxy.TargetID, born int64) error {
	local.mutex.Lock()
	changed, err := local.table.Withdraw(target, born, local.Clock.Now())
	local.rejectIfLeavingLocked(target)
	local.mutex.Unlock()
	if errors.Is(err, announced.ErrInvalid) {
		return err
	}
	event := local.Log.Info().Str("event", "target-withdrawn").Str("target", string(target)).Int64("born", born)
	if err != nil {
		event.Err(err).Send()
		return nil
	}
	event.Send()
	if changed {
		local.Changed()
		local.Record()
	}
	return nil
}

// updateSlotsLocked sets the slots of a target and creates its queue if needed.
// The caller must hold the mutex.
func (local *Local) updateSlotsLocked(id balsamproxy.TargetID, now time.Time) {
	state, found := local.table.State(id)
	if !found {
		return
	}
	queue, found := local.queues[id]
	if !found {
		if local.queues == nil {
			local.queues = map[balsamproxy.TargetID]*admissionQueue{}
		}
		queue = &admissionQueue{waiting: map[admission.Ticket]chan admission.Verdict{}}
		local.queues[id] = queue
	}
	queue.cold = now.Before(state.ColdUntil)
	slots := admission.UsableSlots(state.Target.Slots, queue.cold)
	coldUntil := state.ColdUntil
	if state.Restored {
		coldUntil = now.Add(restoredWarmUp)
	}
	queue.controller.SetWarmUp(local.warmUpRate(state.Target.Service), coldUntil, now)
	queue.notify(queue.controller.SetSlots(slots, now))
}

// restoredWarmUp is how long a target that is known from an earlier run of the daemon is
// assumed to be cold, if its service has a warm-up rate: it may have restarted with the
// host. Its next announcement tells.
const restoredWarmUp = 3 * time.Second

// unknownWarmUpRate is the warm-up rate assumed while no configuration is known. It
// counts for some tenths of a second after a restart, in which a target that restarted
// with its host could otherwise get the calls of many peers.
const unknownWarmUpRate = 5

func (local *Local) warmUpRate(service balsamproxy.ServiceID) float64 {
	if local.WarmUpRate == nil {
		return 0
	}
	if rate, known := local.WarmUpRate(service); known {
		return rate
	}
	return unknownWarmUpRate
}

// hasWarmUpRate reports whether the configuration is known to limit the calls to cold
// targets of a service.
func (local *Local) hasWarmUpRate(service balsamproxy.ServiceID) bool {
	if local.WarmUpRate == nil {
		return false
	}
	rate, known := local.WarmUpRate(service)
	return known && rate > 0
}

// evacuated reports whether the operator has evacuated this data centre.
func (local *Local) evacuated() bool { return local.Evacuated != nil && local.Evacuated() }

// isLeavingLocked reports whether a target has announced that it leaves.
func (local *Local) isLeavingLocked(id balsamproxy.TargetID) bool {
	state, found := local.table.State(id)
	return found && state.Leaving
}

// rejectIfLeavingLocked rejects the queued calls of a target that leaves. They have not
// run, and it may be gone before they would be admitted.
func (local *Local) rejectIfLeavingLocked(id balsamproxy.TargetID) {
	if queue, found := local.queues[id]; found && local.isLeavingLocked(id) {
		queue.notify(queue.controller.RejectWaiting())
	}
}

func (queue *admissionQueue) notify(decisions []admission.Decision) {
	for _, decision := range decisions {
		if verdicts, found := queue.waiting[decision.Ticket]; found {
			delete(queue.waiting, decision.Ticket)
			verdicts <- decision.Verdict
		}
	}
}

// Run removes expired targets and queued calls until ctx ends.
func (local *Local) Run(ctx context.Context) error {
	interval := idleInterval
	for task.SleepOrWake(ctx, interval, local.wakeChannel()) {
		interval = idleInterval
		if local.expire(local.Clock.Now()) {
			interval = expireInterval
		}
	}
	return ctx.Err()
}

// wakeChannel returns the channel that wakes Run when a call is queued.
func (local *Local) wakeChannel() chan struct{} {
	local.wakeOnce.Do(func() { local.wake = make(chan struct{}, 1) })
	return local.wake
}

func (local *Local) wakeUp() {
	select {
	case local.wakeChannel() <- struct{}{}:
	default:
	}
}

// expire removes expired connections, targets and queued calls, and reports
// whether calls remain queued.
func (local *Local) expire(now time.Time) bool {
	local.connections.closeExpired(now)
	local.mutex.Lock()
	expired := local.table.Expire(announcementTimeout, now)
	waiting := false
	for id, queue := range local.queues {
		if len(queue.waiting) > 0 {
			queue.notify(queue.controller.Expire(now))
		}
		waiting = waiting || len(queue.waiting) > 0
		state, known := local.table.State(id)
		if !known && len(queue.waiting) == 0 {
			delete(local.queues, id)
			continue
		}
		if queue.cold && !now.Before(state.ColdUntil) {
			local.updateSlotsLocked(id, now)
		}
	}
	local.mutex.Unlock()
	if expired {
		local.Changed()
	}
	return waiting
}

// Targets returns the targets of this host that accept calls from peers.
func (local *Local) Targets() []balsamproxy.Target {
	local.mutex.Lock()
	defer local.mutex.Unlock()
	targets := []balsamproxy.Target{}
	for _, state := range local.table.States() {
		if !state.Leaving && !state.Down && !state.Unconfirmed {
			targets = append(targets, state.Target)
		}
	}
	return targets
}

// Records returns the announcements of the targets, as they are persisted.
func (local *Local) Records() []announced.Record {
	local.mutex.Lock()
	defer local.mutex.Unlock()
	return local.table.Records()
}

// Restore loads the announcements that an earlier run of the daemon recorded.
func (local *Local) Restore(records []announced.Record) {
	now := local.Clock.Now()
	local.mutex.Lock()
	local.table.Restore(records, now)
	for _, record := range records {
		local.updateSlotsLocked(record.Target.ID, now)
		local.rejectIfLeavingLocked(record.Target.ID)
	}
	local.mutex.Unlock()
	local.Log.Info().Str("event", "targets-recalled").Int("targets", len(records)).Send()
	local.Changed()
}

// Confirm lets restored targets receive calls.
func (local *Local) Confirm(targets []balsamproxy.TargetID) {
	confirmed := 0
	local.mutex.Lock()
	for _, target := range targets {
		if local.table.Confirm(target) {
			confirmed++
		}
	}
	local.mutex.Unlock()
	if confirmed > 0 {
		local.Log.Info().Str("event", "targets-confirmed").Int("targets", confirmed).Send()
		local.Changed()
	}
}

// CallFailed records that a call made by a target of this host has failed.
func (local *Local) CallFailed(congestion balsamproxy.Congestion) {
	local.mutex.Lock()
	defer local.mutex.Unlock()
	local.downstreamFailures.Record(congestion, local.Clock.Now())
}

// dependencyFailed reports whether a failed response is attributed to a failed
// call of the target, and of which kind that failure was.
func (local *Local) dependencyFailed(status int) (balsamproxy.Congestion, bool) {
	if status < http.StatusInternalServerError {
		return balsamproxy.CongestionNone, false
	}
	local.mutex.Lock()
	defer local.mutex.Unlock()
	return local.downstreamFailures.Consume(local.Clock.Now())
}
