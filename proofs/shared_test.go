package proofs_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/internal/standin/platform"
	"balsamproxy/io/operator"
)

// put sends a document to a daemon once.
func (fleet *fleet) put(daemon *daemon, document config.Document, seen balsamproxy.Revision) answer {
	fleet.t.Helper()
	data, err := json.Marshal(document)
	assert.NilError(fleet.t, err)
	address := "http://" + daemon.settings.OperatorAddress + operator.ConfigPath + "?revision=" + seen.String()
	return do(fleet.t, "PUT", address, data, http.Header{"Authorization": {"Bearer " + token}})
}

// servingFleet returns daemons that all serve venues beside the first.
func servingFleet(t *testing.T, daemons int) *fleet {
	t.Helper()
	fleet := newFleet(t, daemons)
	fleet.start()
	fleet.awaitRoster()
	fleet.apply(fleet.daemons[0], document(goodSecret))
	fleet.target(fleet.daemons[0], "venues")
	for _, daemon := range fleet.daemons {
		fleet.awaitStatus(daemon, "GET", "/venues/1", http.StatusOK)
	}
	return fleet
}

// awaitRoster waits until all daemons are on the roster.
func (fleet *fleet) awaitRoster() {
	fleet.t.Helper()
	for index, daemon := range fleet.daemons {
		fleet.awaitLog(daemon, `"document":"roster"`, len(fleet.daemons)-index)
	}
}

// TestFrozenDaemonRefusesWithdrawnKey stops a daemon, withdraws a key, and
// lets the daemon go on with a request that was sent while it was stopped. A
// request that is sent before all its threads stand still may be admitted
// while the key is good.
func TestFrozenDaemonRefusesWithdrawnKey(t *testing.T) {
	fleet := servingFleet(t, 3)
	frozen := fleet.daemons[2]
	frozen.freeze(t)
	result := make(chan answer, 1)
	go func() { result <- fleet.ask(frozen, "GET", "/venues/frozen") }()
	begin := time.Now()
	put := fleet.put(fleet.daemons[0], document(otherSecret), fleet.seen)
	assert.Equal(t, put.status, http.StatusOK, string(put.body))
	var accepted operator.Accepted
	assert.NilError(t, json.Unmarshal(put.body, &accepted))
	assert.Equal(t, accepted.Status, operator.StatusAccepted)
	assert.DeepEqual(t, accepted.Missing, []balsamproxy.HostID{frozen.settings.Host})
	assert.Assert(t, time.Since(begin) > 2*time.Second, "accepted before the frozen daemon's standing ended")
	frozen.signal(t, syscall.SIGCONT)
	answered := <-result
	assert.Assert(t, answered.status != http.StatusOK, "a withdrawn key was admitted")
	assert.Equal(t, answered.outcome, balsamproxy.OutcomeNotRun)
	fleet.awaitStatus(frozen, "GET", "/venues/1", http.StatusUnauthorized)
}

// TestLongStoreOutage takes the store away until standing rests on peers
// alone; nothing may be refused for it. Then it freezes most of the peers.
func TestLongStoreOutage(t *testing.T) {
	fleet := servingFleet(t, 3)
	fleet.store.SetFaults(platform.Faults{Down: true})
	for _, daemon := range fleet.daemons {
		fleet.awaitLog(daemon, `"basis":"peers"`, 1)
	}
	for range 100 {
		for _, daemon := range fleet.daemons {
			answered := fleet.ask(daemon, "GET", "/venues/1")
			assert.Equal(t, answered.status, http.StatusOK, string(answered.body))
		}
	}
	fleet.daemons[1].signal(t, syscall.SIGSTOP)
	fleet.daemons[2].signal(t, syscall.SIGSTOP)
	refused := fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/1", http.StatusServiceUnavailable)
	assert.Equal(t, refused.reason, balsamproxy.ReasonNoStanding)
	assert.Equal(t, refused.outcome, balsamproxy.OutcomeNotRun)
	fleet.daemons[1].signal(t, syscall.SIGCONT)
	fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/1", http.StatusOK)
}

// TestStoreHiddenFromOne hides the store from one daemon. It goes on by its
// peers' word, and learns a new configuration from them.
func TestStoreHiddenFromOne(t *testing.T) {
	fleet := servingFleet(t, 3)
	hidden := fleet.daemons[2]
	fleet.store.SetFaults(platform.Faults{RefusedUserAgent: string(hidden.settings.Host)})
	fleet.awaitLog(hidden, `"basis":"peers"`, 1)
	assert.Equal(t, fleet.ask(hidden, "GET", "/venues/1").status, http.StatusOK)
	put := fleet.put(fleet.daemons[0], document(otherSecret), fleet.seen)
	assert.Equal(t, put.status, http.StatusOK, string(put.body))
	assert.Equal(t, fleet.ask(hidden, "GET", "/venues/1").status, http.StatusUnauthorized)
	url := "http://" + hidden.settings.CallerAddress + "/venues/1"
	assert.Equal(t, do(t, "GET", url, nil, keyed(otherSecret)).status, http.StatusOK)
}

// TestOperatorsRace lets two operators replace the same revision at once.
func TestOperatorsRace(t *testing.T) {
	fleet := servingFleet(t, 2)
	changes := []config.Document{document(goodSecret, otherSecret), document(otherSecret)}
	answers := make([]answer, len(changes))
	var racing sync.WaitGroup
	for index, change := range changes {
		racing.Go(func() { answers[index] = fleet.put(fleet.daemons[index], change, fleet.seen) })
	}
	racing.Wait()
	won, lost := answers[0], answers[1]
	if won.status != http.StatusOK {
		won, lost = lost, won
	}
	assert.Equal(t, won.status, http.StatusOK, string(won.body))
	assert.Equal(t, lost.status, http.StatusConflict, string(lost.body))
	var problem operator.Problem
	assert.NilError(t, json.Unmarshal(lost.body, &problem))
	var accepted operator.Accepted
	assert.NilError(t, json.Unmarshal(won.body, &accepted))
	assert.Equal(t, problem.Revision, accepted.Revision)
	assert.Assert(t, len(problem.Difference) > 0, "the loser must see what changed")
	late := fleet.put(fleet.daemons[0], document(otherSecret), fleet.seen)
	assert.Equal(t, late.status, http.StatusConflict, string(late.body))
}

// TestApplyWithLostAnswer loses the store's answer to an accepted document.
func TestApplyWithLostAnswer(t *testing.T) {
	cases := map[string]struct {
		lost   int
		status int
	}{
		"one answer lost":  {lost: 1, status: http.StatusOK},
		"all answers lost": {lost: 3, status: http.StatusBadGateway},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := servingFleet(t, 2)
			fleet.store.SetFaults(platform.Faults{DropResponses: test.lost})
			put := fleet.put(fleet.daemons[0], document(otherSecret), fleet.seen)
			assert.Equal(t, put.status, test.status, string(put.body))
			for _, daemon := range fleet.daemons {
				fleet.awaitStatus(daemon, "GET", "/venues/1", http.StatusUnauthorized)
			}
		})
	}
}

// TestRateOverAllHosts hammers all daemons at once while one is killed and
// another is frozen for a while.
func TestRateOverAllHosts(t *testing.T) {
	fleet := servingFleet(t, 4)
	limited := document(goodSecret)
	limited.ClientAccounts[0].Rate = 60
	limited.ClientAccounts[0].Burst = 40
	put := fleet.put(fleet.daemons[0], limited, fleet.seen)
	assert.Equal(t, put.status, http.StatusOK, string(put.body))
	var admitted atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	begin := time.Now()
	for index := range 8 {
		callers.Go(func() { fleet.hammer(fleet.daemons[index%4], stop, &admitted) })
	}
	fleet.awaitAdmitted(&admitted, 100)
	fleet.daemons[3].signal(t, syscall.SIGKILL)
	fleet.daemons[2].signal(t, syscall.SIGSTOP)
	fleet.awaitAdmitted(&admitted, 150)
	fleet.daemons[2].signal(t, syscall.SIGCONT)
	fleet.startOne(fleet.daemons[3])
	fleet.awaitAdmitted(&admitted, 300)
	close(stop)
	callers.Wait()
	elapsed := time.Since(begin)
	most := 40 + 60*elapsed.Seconds()
	got := float64(admitted.Load())
	t.Logf("%.0f admitted in %v, at most %.0f permitted", got, elapsed, most)
	assert.Assert(t, got <= most, "%.0f admitted, at most %.0f permitted", got, most)
}

func (fleet *fleet) hammer(daemon *daemon, stop <-chan struct{}, admitted *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	for {
		select {
		case <-stop:
			return
		default:
		}
		url := "http://" + daemon.settings.CallerAddress + "/venues/1"
		if doWith(fleet.t.Context(), client, "GET", url, nil, keyed(goodSecret)).status == http.StatusOK {
			admitted.Add(1)
		}
	}
}

func (fleet *fleet) awaitAdmitted(admitted *atomic.Int64, count int64) {
	fleet.t.Helper()
	fleet.await(func() (bool, string) { return admitted.Load() >= count, "too few admitted" })
}
