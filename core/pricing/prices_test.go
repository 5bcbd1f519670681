package pricing

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
)

// kind is a kind of request in the tests: its class, its arrivals a second at all
// entries at normal load, its calls to the deep service, and their work.
type kind struct {
	class Class
	rate  float64
	calls int
	work  time.Duration
}

const (
	deep balsamproxy.ServiceID = "deep"
	step                       = 10 * time.Millisecond
	// callDelay and responseDelay are the times from the admission of a request to
	// its calls and to its response.
	callDelay     = 300 * time.Millisecond
	responseDelay = 800 * time.Millisecond
)

// result counts the requests of a kind in a period.
type result struct{ sent, admitted, served int }

func (result result) share() float64 { return float64(result.served) / float64(max(result.sent, 1)) }

// model is a number of entries in front of a deep service.
type model struct {
	kinds  map[string]kind
	random *rand.Rand
	// prices are those of each entry; nil admits everything.
	prices []Prices
	slots  float64
	// recent is the decaying sum of the work offered to the deep service.
	recent          float64
	calling, ending map[time.Time][]*request
	results         []map[string]result
}

type request struct {
	name       string
	entry      int
	admittedAt time.Time
	pressure   float64
	served     bool
}

const entryCount = 20

// play plays load at a number of entries and a deep service with the given slots, and
// returns the results of each second by kind. Without prices everything is admitted.
func play(kinds map[string]kind, load func(second int) float64, slots float64, seconds int, withPrices bool) []map[string]result {
	model := &model{
		kinds: kinds, slots: slots,
		random:  rand.New(rand.NewPCG(1, 2)), //nolint:gosec // the schedule must be reproducible
		calling: map[time.Time][]*request{}, ending: map[time.Time][]*request{},
	}
	if withPrices {
		model.prices = make([]Prices, entryCount)
	}
	start := time.Unix(0, 0)
	for second := range seconds {
		model.results = append(model.results, map[string]result{})
		for now := start.Add(time.Duration(second) * time.Second); now.Before(start.Add(time.Duration(second+1) * time.Second)); now = now.Add(step) {
			model.call(now)
			model.end(now)
			model.arrive(load(second), now)
		}
	}
	return model.results
}

// count changes the result of a kind in the present second.
func (model *model) count(name string, change func(*result)) {
	current := model.results[len(model.results)-1]
	counted := current[name]
	change(&counted)
	current[name] = counted
}

// call lets the requests that are due call the deep service.
func (model *model) call(now time.Time) {
	model.recent *= math.Exp(-step.Seconds() / 0.3)
	for _, current := range model.calling[now] {
		kind := model.kinds[current.name]
		model.recent += float64(kind.calls) * kind.work.Seconds()
	}
	pressure := model.recent / 0.3 / model.slots
	admitted := min(1, 1/pressure)
	for _, current := range model.calling[now] {
		current.pressure = min(pressure, 1)*admitted + RejectedPressure*(1-admitted)
		current.served = model.random.Float64() < math.Pow(admitted, float64(model.kinds[current.name].calls))
	}
	delete(model.calling, now)
}

// end answers the requests that are due.
func (model *model) end(now time.Time) {
	for _, current := range model.ending[now] {
		kind := model.kinds[current.name]
		costs := []balsamproxy.ServiceCost{{Service: "first", Work: 300 * time.Millisecond, Pressure: 0.4}}
		if kind.calls > 0 {
			costs = append(costs, balsamproxy.ServiceCost{Service: deep, Work: time.Duration(kind.calls) * kind.work, Pressure: current.pressure})
		}
		if model.prices != nil {
			model.prices[current.entry].Record(kind.class, costs, current.admittedAt, now)
		}
		if current.served {
			model.count(current.name, func(result *result) { result.served++ })
		}
	}
	delete(model.ending, now)
}

// arrive sends the requests of one step.
func (model *model) arrive(load float64, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(model.kinds)) {
		kind := model.kinds[name]
		for arrivals := kind.rate * load * step.Seconds(); model.random.Float64() < arrivals; arrivals-- {
			model.count(name, func(result *result) { result.sent++ })
			entry := model.random.IntN(entryCount)
			if model.prices != nil && !model.prices[entry].Admit(Arrival{Class: kind.class}, model.random.Float64(), now) {
				continue
			}
			model.count(name, func(result *result) { result.admitted++ })
			admitted := &request{name: name, entry: entry, admittedAt: now}
			model.calling[now.Add(callDelay)] = append(model.calling[now.Add(callDelay)], admitted)
			model.ending[now.Add(responseDelay)] = append(model.ending[now.Add(responseDelay)], admitted)
		}
	}
}

// sum adds up the results from one second to before another.
func sum(results []map[string]result, from, to int) map[string]result {
	total := map[string]result{}
	for _, second := range results[from:to] {
		for name, counted := range second {
			added := total[name]
			added.sent += counted.sent
			added.admitted += counted.admitted
			added.served += counted.served
			total[name] = added
		}
	}
	return total
}

func served(total map[string]result) int {
	count := 0
	for _, counted := range total {
		count += counted.served
	}
	return count
}

// mix is a mix of kinds that need 0.85 of 900 slots of the deep service at normal load:
// browsing makes eight calls, orders four, issues need it themselves, checks do not.
func mix(issuePriority balsamproxy.Priority) map[string]kind {
	return map[string]kind{
		"browse": {Class{"browse", 5}, 700, 8, 83 * time.Millisecond},
		"order":  {Class{"order", 5}, 310, 4, 83 * time.Millisecond},
		"issue":  {Class{"issue", issuePriority}, 100, 1, 260 * time.Millisecond},
		"check":  {Class{"check", 4}, 270, 0, 0},
	}
}

// TestShortDeepService guards against work that is spent in front of a deep service
// which then rejects the calls: a request that makes several of them fails if one does.
// The load doubles from the fifth to the fifteenth second.
func TestShortDeepService(t *testing.T) {
	surge := func(second int) float64 {
		if second >= 5 && second < 15 {
			return 2
		}
		return 1
	}
	without := play(mix(6), surge, 730, 22, false)
	with := play(mix(6), surge, 730, 22, true)
	inSurge, unpriced := sum(with, 7, 15), sum(without, 7, 15)
	t.Logf("surge: %v, without prices: %v", inSurge, unpriced)
	assert.Assert(t, served(inSurge) > served(unpriced)*3/2)
	// Requests that do not use the short service are all admitted.
	assert.Equal(t, inSurge["check"].admitted, inSurge["check"].sent)
	// The cheap kinds go first, the urgent one in front; none starves.
	assert.Assert(t, inSurge["issue"].share() >= inSurge["order"].share())
	assert.Assert(t, inSurge["order"].share() >= inSurge["browse"].share())
	assert.Assert(t, inSurge["browse"].share() >= 0.25*float64(served(inSurge))/float64(inSurge["browse"].sent+inSurge["order"].sent+inSurge["issue"].sent+inSurge["check"].sent))
	// Few of the admitted requests fail.
	for name, counted := range inSurge {
		assert.Assert(t, float64(counted.served) >= 0.8*float64(counted.admitted), "%s: %+v", name, counted)
	}
	// Three seconds after the surge everything is admitted again.
	for name, counted := range sum(with, 18, 22) {
		assert.Assert(t, float64(counted.admitted) >= 0.97*float64(counted.sent), "%s: %+v", name, counted)
	}
}

// TestNormalLoad guards against requests that are shed while the service has room: at
// 0.8 of the capacity single reports are above the target by chance.
func TestNormalLoad(t *testing.T) {
	results := play(mix(6), func(int) float64 { return 1 }, 800, 12, true)
	for name, counted := range sum(results, 2, 12) {
		assert.Assert(t, float64(counted.admitted) >= 0.99*float64(counted.sent), "%s: %+v", name, counted)
	}
}

// TestUrgentKindIsNotShedFirst guards against an urgent kind that is served less often
// than a less urgent one because it costs more.
func TestUrgentKindIsNotShedFirst(t *testing.T) {
	kinds := mix(6)
	expensive := kinds["browse"]
	expensive.class.Priority = 9
	kinds["browse"] = expensive
	total := sum(play(kinds, func(int) float64 { return 1.6 }, 730, 12, true), 4, 12)
	for name, counted := range total {
		admitted := float64(counted.admitted) / float64(counted.sent)
		urgent := float64(total["browse"].admitted) / float64(total["browse"].sent)
		if name != "check" {
			assert.Assert(t, urgent >= admitted-0.03, "%s: %+v, urgent: %+v", name, counted, total["browse"])
		}
	}
}

// TestReportsStop guards against a price that stays when no request is admitted that
// would report the end of the shortage.
func TestReportsStop(t *testing.T) {
	prices := &Prices{}
	class := Class{"browse", 5}
	now := time.Unix(0, 0)
	for range 200 {
		now = now.Add(step)
		prices.Record(class, []balsamproxy.ServiceCost{{Service: deep, Work: time.Second, Pressure: 3}}, now, now)
	}
	assert.Assert(t, prices.Price(deep, now) > 1)
	assert.Assert(t, prices.Price(deep, now.Add(8*time.Second)) < 0.05)
}

// TestReturningCallers guards against callers that are refused again and again: one that
// has waited goes before one that has just come. The service is short by a third.
func TestReturningCallers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // the schedule must be reproducible
	prices := &Prices{}
	class := Class{"browse", 5}
	now := time.Unix(0, 0)
	admitted := map[time.Duration]int{}
	for range 2000 {
		now = now.Add(step)
		prices.Record(class, []balsamproxy.ServiceCost{{Service: deep, Work: time.Second, Pressure: 1.5 * math.Exp(-prices.Price(deep, now))}}, now, now)
		for _, left := range []time.Duration{5 * time.Second, 3 * time.Second} {
			if prices.Admit(Arrival{Class: class, Left: left}, random.Float64(), now) {
				admitted[left]++
			}
		}
	}
	assert.Assert(t, admitted[3*time.Second] > admitted[5*time.Second]*5/4, "%v", admitted)
	assert.Assert(t, admitted[5*time.Second] > 500, "%v", admitted)
}
