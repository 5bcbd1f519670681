package target

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/admission"
	"balsamproxy/core/announced"
	"balsamproxy/task"
)

const (
	// slotsKeptPart is the part of a target's slots that is left free: new
	// connections hold a slot for a moment, and some targets grow slow when
	// they are nearly full.
	slotsKeptPart = 0.05
	// silenceMax is how long a target may be silent before it is forgotten.
	// Announcements come every second or two and may be seconds late.
	silenceMax = 15 * time.Second
	// expireInterval is how often waiting calls are looked through, and
	// idleInterval how often the rest is while none waits.
	expireInterval = 20 * time.Millisecond
	idleInterval   = 250 * time.Millisecond
	// coldSlotsPart is the part of the slots that a cold target is given.
	coldSlotsPart = 0.5
)

// Local brings calls to the targets of this host. It is their only way in,
// so it holds each at its slots exactly. Its exported fields must be set.
type Local struct {
	Clock   balsamproxy.Clock
	Dialect balsamproxy.Dialect
	// Changed is called when what peers should know of a target changes.
	Changed func()
	// Record writes down what the targets said, before a change of it is
	// acknowledged to them.
	Record  func(records []announced.Record)
	Log     zerolog.Logger
	Metrics tally.Scope

	mutex       sync.Mutex
	table       announced.Table
	doors       map[balsamproxy.TargetID]*openDoor
	tickets     admission.Ticket
	blame       admission.DownstreamFailures
	connections connections
	wakeOnce    sync.Once
	wake        chan struct{}
}

var _ balsamproxy.Forwarder = (*Local)(nil)

// openDoor is the door of one target with the calls that wait at it.
type openDoor struct {
	door    admission.Controller
	waiting map[admission.Ticket]chan admission.Verdict
	// cold says that the door has the slots of a cold target.
	cold bool
}

// Announce takes what a target says of itself.
func (local *Local) Announce(announcement balsamproxy.Announcement) error {
	now := local.Clock.Now()
	local.mutex.Lock()
	changed, err := local.table.Announce(announcement, now)
	if err == nil {
		local.openLocked(announcement.Target.ID, now)
	}
	local.mutex.Unlock()
	if err != nil {
		local.Log.Info().Str("event", "announcement-ignored").Str("target", string(announcement.Target.ID)).
			Int64("born", announcement.Born).Int64("sequence", announcement.Sequence).Err(err).Send()
		return nil
	}
	if changed {
		local.Log.Info().Str("event", "target-announced").Str("target", string(announcement.Target.ID)).
			Str("state", string(announcement.Target.State)).Int64("born", announcement.Born).
			Int64("sequence", announcement.Sequence).Int("slots", announcement.Target.Slots).Send()
		local.Changed()
		local.Record(local.records())
	}
	return nil
}

// Withdraw takes out a target that leaves.
func (local *Local) Withdraw(target balsamproxy.TargetID, born int64) error {
	local.mutex.Lock()
	changed, err := local.table.Withdraw(target, born, local.Clock.Now())
	local.mutex.Unlock()
	event := local.Log.Info().Str("event", "target-withdrawn").Str("target", string(target)).Int64("born", born)
	if err != nil {
		event.Err(err).Send()
		return nil
	}
	event.Send()
	if changed {
		local.Changed()
		local.Record(local.records())
	}
	return nil
}

// openLocked gives a target its slots.
func (local *Local) openLocked(id balsamproxy.TargetID, now time.Time) {
	state, found := local.table.State(id)
	if !found {
		return
	}
	held, found := local.doors[id]
	if !found {
		if local.doors == nil {
			local.doors = map[balsamproxy.TargetID]*openDoor{}
		}
		held = &openDoor{waiting: map[admission.Ticket]chan admission.Verdict{}}
		local.doors[id] = held
	}
	slots := state.Target.Slots
	slots -= int(float64(slots) * slotsKeptPart)
	held.cold = now.Before(state.ColdUntil)
	if held.cold {
		slots = int(float64(slots) * coldSlotsPart)
	}
	held.tell(held.door.SetSlots(max(slots, 1), now))
}

func (held *openDoor) tell(decisions []admission.Decision) {
	for _, decision := range decisions {
		if verdict, found := held.waiting[decision.Ticket]; found {
			delete(held.waiting, decision.Ticket)
			verdict <- decision.Verdict
		}
	}
}

// Run keeps the targets and their doors current until ctx ends.
func (local *Local) Run(ctx context.Context) error {
	pause := idleInterval
	for task.SleepOrWake(ctx, pause, local.wakes()) {
		pause = idleInterval
		if local.expire(local.Clock.Now()) {
			pause = expireInterval
		}
	}
	return ctx.Err()
}

// wakes returns the channel on which a first waiting call is told.
func (local *Local) wakes() chan struct{} {
	local.wakeOnce.Do(func() { local.wake = make(chan struct{}, 1) })
	return local.wake
}

func (local *Local) wakeUp() {
	select {
	case local.wakes() <- struct{}{}:
	default:
	}
}

// expire ends what time has ended, and says whether calls wait.
func (local *Local) expire(now time.Time) bool {
	local.connections.expire(now)
	local.mutex.Lock()
	gone := local.table.Expire(silenceMax, now)
	waits := false
	for id, held := range local.doors {
		if len(held.waiting) > 0 {
			held.tell(held.door.Expire(now))
		}
		waits = waits || len(held.waiting) > 0
		state, known := local.table.State(id)
		if !known && len(held.waiting) == 0 {
			delete(local.doors, id)
			continue
		}
		if held.cold && !now.Before(state.ColdUntil) {
			local.openLocked(id, now)
		}
	}
	local.mutex.Unlock()
	if gone {
		local.Changed()
	}
	return waits
}

// Targets returns the targets of this host that peers may send calls to.
func (local *Local) Targets() []balsamproxy.Target {
	local.mutex.Lock()
	defer local.mutex.Unlock()
	targets := []balsamproxy.Target{}
	for _, state := range local.table.States() {
		if !state.Leaving && !state.Down {
			targets = append(targets, state.Target)
		}
	}
	return targets
}

func (local *Local) records() []announced.Record {
	local.mutex.Lock()
	defer local.mutex.Unlock()
	return local.table.Records()
}

// Restore takes what an earlier run of the daemon wrote down.
func (local *Local) Restore(records []announced.Record) {
	now := local.Clock.Now()
	local.mutex.Lock()
	local.table.Restore(records, now)
	for _, record := range records {
		local.openLocked(record.Target.ID, now)
	}
	local.mutex.Unlock()
	local.Log.Info().Str("event", "targets-recalled").Int("targets", len(records)).Send()
	local.Changed()
}

// CallFailed notes that a call which a target of this host made has failed.
func (local *Local) CallFailed() {
	local.mutex.Lock()
	defer local.mutex.Unlock()
	local.blame.Record(local.Clock.Now())
}

// calleeFailed says whether a failed answer is put down to a failed call.
func (local *Local) calleeFailed(status int) bool {
	if status < http.StatusInternalServerError {
		return false
	}
	local.mutex.Lock()
	defer local.mutex.Unlock()
	return local.blame.Consume(local.Clock.Now())
}
