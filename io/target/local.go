package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/announced"
	"balsamproxy/core/door"
)

const (
	// slotsKeptPart is the part of a target's slots that is left free: new
	// connections hold a slot for a moment, and some targets grow slow when
	// they are nearly full.
	slotsKeptPart = 0.05
	// silenceMax is how long a target may be silent before it is forgotten.
	// Announcements come every second or two and may be seconds late.
	silenceMax = 15 * time.Second
	// expireInterval is how often waiting calls are looked through.
	expireInterval = 20 * time.Millisecond
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
	tickets     door.Ticket
	blame       door.Blame
	connections connections
}

var _ balsamproxy.Carrier = (*Local)(nil)

// openDoor is the door of one target with the calls that wait at it.
type openDoor struct {
	door    door.Door
	waiting map[door.Ticket]chan door.Verdict
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
		held = &openDoor{waiting: map[door.Ticket]chan door.Verdict{}}
		local.doors[id] = held
	}
	slots := state.Target.Slots
	slots -= int(float64(slots) * slotsKeptPart)
	if now.Before(state.ColdUntil) {
		slots = int(float64(slots) * coldSlotsPart)
	}
	held.tell(held.door.SetSlots(max(slots, 1), now))
}

func (held *openDoor) tell(decisions []door.Decision) {
	for _, decision := range decisions {
		if verdict, found := held.waiting[decision.Ticket]; found {
			delete(held.waiting, decision.Ticket)
			verdict <- decision.Verdict
		}
	}
}

// Run keeps the targets and their doors current until ctx ends.
func (local *Local) Run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			local.expire(local.Clock.Now())
		}
	}
}

func (local *Local) expire(now time.Time) {
	local.connections.expire(now)
	local.mutex.Lock()
	gone := local.table.Expire(silenceMax, now)
	for id, held := range local.doors {
		state, known := local.table.State(id)
		if !known && len(held.waiting) == 0 {
			delete(local.doors, id)
			continue
		}
		if len(held.waiting) > 0 {
			held.tell(held.door.Expire(now))
		}
		if !state.ColdUntil.IsZero() && now.After(state.ColdUntil) && now.Sub(state.ColdUntil) < 2*expireInterval {
			local.openLocked(id, now)
		}
	}
	local.mutex.Unlock()
	if gone {
		local.Changed()
	}
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

// Recall takes what an earlier run of the daemon wrote down.
func (local *Local) Recall(records []announced.Record) {
	now := local.Clock.Now()
	local.mutex.Lock()
	local.table.Recall(records, now)
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
	local.blame.CallFailed(local.Clock.Now())
}

// calleeFailed says whether a failed answer is put down to a failed call.
func (local *Local) calleeFailed(status int) bool {
	if status < http.StatusInternalServerError {
		return false
	}
	local.mutex.Lock()
	defer local.mutex.Unlock()
	return local.blame.Explains(local.Clock.Now())
}

// visit is one call at the door of its target.
type visit struct {
	local  *Local
	call   balsamproxy.Call
	target balsamproxy.Target
	held   *openDoor
	ticket door.Ticket
	body   []byte
}

// Carry brings one call to its target on this host.
func (local *Local) Carry(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Answer, error) {
	body, err := io.ReadAll(call.Body)
	if err != nil {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "the body ended early")
	}
	visit := &visit{local: local, call: call, body: body}
	if refusal := visit.enter(ctx); refusal != nil {
		return nil, refusal
	}
	answer, refusal := visit.deliver(ctx)
	if refusal != nil {
		refusal.Load = visit.load()
		return nil, refusal
	}
	answer.Head.Load = visit.load()
	return answer, nil
}

func (visit *visit) load() balsamproxy.Load {
	visit.local.mutex.Lock()
	defer visit.local.mutex.Unlock()
	return visit.held.door.Load(visit.call.Head.Route)
}

// enter passes the door or is refused.
func (visit *visit) enter(ctx context.Context) *balsamproxy.Refusal {
	local := visit.local
	now := local.Clock.Now()
	head := visit.call.Head
	local.mutex.Lock()
	state, found := local.table.State(head.Target)
	held := local.doors[head.Target]
	if !found || held == nil || state.Leaving || state.Down || state.Target.Service != head.Service {
		local.mutex.Unlock()
		return balsamproxy.NotRun(balsamproxy.ReasonDraining, "the target takes no work: "+string(head.Target))
	}
	local.tickets++
	visit.target, visit.held, visit.ticket = state.Target, held, local.tickets
	verdict, decisions := held.door.Enter(visit.request(ctx, now), now)
	held.tell(decisions)
	var waiting chan door.Verdict
	if verdict == door.Waiting {
		waiting = make(chan door.Verdict, 1)
		held.waiting[visit.ticket] = waiting
	}
	load := held.door.Load(head.Route)
	local.mutex.Unlock()
	if waiting != nil {
		verdict = visit.wait(ctx, waiting)
	}
	return visit.refusalOf(verdict, load)
}

func (visit *visit) request(ctx context.Context, now time.Time) door.Request {
	head := visit.call.Head
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(head.Timeout)
	}
	return door.Request{
		Ticket:    visit.ticket,
		Account:   head.Account,
		Kind:      head.Route,
		Priority:  head.Priority,
		Nested:    head.Nested,
		Returning: head.Returning,
		Deadline:  deadline,
		Patience:  head.Patience,
	}
}

// wait waits for the verdict. A call that is cancelled while it waits has not
// run; one that was admitted at the same moment gives its slot back.
func (visit *visit) wait(ctx context.Context, waiting chan door.Verdict) door.Verdict {
	select {
	case verdict := <-waiting:
		return verdict
	case <-ctx.Done():
	}
	local := visit.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	if visit.held.door.Abandon(visit.ticket) {
		delete(visit.held.waiting, visit.ticket)
		return door.Expired
	}
	if verdict := <-waiting; verdict != door.Admitted {
		return verdict
	}
	visit.held.tell(visit.held.door.Leave(visit.ended(0), local.Clock.Now()))
	return door.Expired
}

func (visit *visit) refusalOf(verdict door.Verdict, load balsamproxy.Load) *balsamproxy.Refusal {
	var refusal *balsamproxy.Refusal
	switch verdict {
	case door.Admitted:
		return nil
	case door.Expired:
		refusal = balsamproxy.NotRun(balsamproxy.ReasonDeadline, "the call could not end in time")
	default:
		refusal = balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "the target is full")
	}
	refusal.Load = load
	refusal.Retry = load.Wait
	return refusal
}

func (visit *visit) ended(work time.Duration) door.Ended {
	head := visit.call.Head
	return door.Ended{Kind: head.Route, Nested: head.Nested, Work: work}
}

// leave gives the slot back.
func (visit *visit) leave(work time.Duration) {
	local := visit.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	visit.held.tell(visit.held.door.Leave(visit.ended(work), local.Clock.Now()))
}

// deliver sends an admitted call to its target.
func (visit *visit) deliver(ctx context.Context) (*balsamproxy.Answer, *balsamproxy.Refusal) {
	if ctx.Err() != nil {
		visit.leave(0)
		return nil, balsamproxy.NotRun(balsamproxy.ReasonCancelled, "nobody waits for the answer")
	}
	if !visit.call.Head.Idempotent {
		// What may not be repeated is better finished than broken off.
		deadline, ok := ctx.Deadline()
		ctx = context.WithoutCancel(ctx)
		if ok {
			bounded, cancel := context.WithDeadline(ctx, deadline)
			defer cancel()
			ctx = bounded
		}
	}
	begin := visit.local.Clock.Now()
	delivered, err := visit.exchange(ctx)
	took := visit.local.Clock.Now().Sub(begin)
	if err != nil {
		visit.leave(0)
		return nil, visit.failure(ctx, err)
	}
	visit.leave(took)
	return visit.answer(delivered)
}

// answer judges what the target answered.
func (visit *visit) answer(delivered *delivered) (*balsamproxy.Answer, *balsamproxy.Refusal) {
	mark := delivered.mark
	switch {
	case mark.Moved:
		refusal := balsamproxy.NotRun(balsamproxy.ReasonDraining, "another target has the address")
		refusal.Arrived = true
		visit.lost()
		return nil, refusal
	case mark.NotRun:
		refusal := balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "the target refused the call")
		refusal.Arrived = true
		return nil, refusal
	case mark.Promise && !visit.call.Head.Idempotent:
		return nil, balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, "the target refused without saying that it did not run the call")
	}
	visit.local.Dialect.TakeAnswerID(delivered.header)
	delivered.header.Del("Content-Length")
	return &balsamproxy.Answer{
		Head: balsamproxy.AnswerHead{
			Status:        delivered.status,
			Header:        delivered.header,
			ContentLength: delivered.length,
			CalleeFailed:  visit.local.calleeFailed(delivered.status),
		},
		Body: io.NopCloser(bytes.NewReader(delivered.body)),
	}, nil
}

// failure tells why no answer came, and looks whether the target is gone.
func (visit *visit) failure(ctx context.Context, err error) *balsamproxy.Refusal {
	refuse := balsamproxy.MayHaveRun
	if errors.Is(err, errNotSent) {
		refuse = balsamproxy.NotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuse(balsamproxy.ReasonDeadline, "no answer in time")
	case ctx.Err() != nil:
		return refuse(balsamproxy.ReasonCancelled, "nobody waits for the answer")
	}
	refusal := refuse(balsamproxy.ReasonTargetFailed, err.Error())
	if visit.isDown() || visit.refusesConnections() {
		visit.lost()
		refusal.Reason = balsamproxy.ReasonTargetCrashed
		if refusal.Outcome == balsamproxy.OutcomeMayHaveRun {
			refusal.Crash = visit.crash()
		}
	}
	return refusal
}

// isDown says whether the target is known to be down already.
func (visit *visit) isDown() bool {
	local := visit.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	state, found := local.table.State(visit.target.ID)
	return found && state.Down
}

// crash names the crash of this start of the target.
func (visit *visit) crash() balsamproxy.CrashID {
	local := visit.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	state, _ := local.table.State(visit.target.ID)
	return balsamproxy.CrashID(string(visit.target.ID) + "/" + strconv.FormatInt(state.Born, 10))
}

// lost takes the target out until it announces itself again.
func (visit *visit) lost() {
	local := visit.local
	local.mutex.Lock()
	changed := local.table.SetDown(visit.target.ID, true)
	local.mutex.Unlock()
	if changed {
		local.Log.Warn().Str("event", "target-lost").Str("target", string(visit.target.ID)).
			Str("request", string(visit.call.Head.RequestID)).Send()
		local.Changed()
	}
}
