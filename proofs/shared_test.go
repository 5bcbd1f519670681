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

// putConfig sends one PUT of a configuration document, without retries.
func (fleet *fleet) putConfig(daemon *daemon, document config.Document, expected balsamproxy.Revision) clientResponse {
	fleet.t.Helper()
	data, err := json.Marshal(document)
	assert.NilError(fleet.t, err)
	address := "http://" + daemon.settings.OperatorAddress + operator.ConfigPath + "?revision=" + expected.String()
	return do(fleet.t, "PUT", address, data, http.Header{"Authorization": {"Bearer " + token}})
}

// newServingFleet starts daemons and one target of venues on the first host, and
// waits until every daemon routes requests to it.
func newServingFleet(t *testing.T, daemons int) *fleet {
	t.Helper()
	fleet := newFleet(t, daemons)
	fleet.start()
	fleet.awaitRoster()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	fleet.startTarget(fleet.daemons[0], "venues")
	for _, daemon := range fleet.daemons {
		fleet.awaitStatus(daemon, "GET", "/venues/1", http.StatusOK)
	}
	return fleet
}

// awaitRoster waits until the daemons have logged the roster versions that list
// the whole fleet.
func (fleet *fleet) awaitRoster() {
	fleet.t.Helper()
	for index, daemon := range fleet.daemons {
		fleet.awaitLog(daemon, `"document":"roster"`, len(fleet.daemons)-index)
	}
}

// TestFrozenDaemonRefusesWithdrawnKey guards against a suspended daemon that
// resumes with an outdated configuration and admits a request with a withdrawn
// key. The request is sent only after all threads have stopped: a thread that
// still runs may admit it while the key is valid.
func TestFrozenDaemonRefusesWithdrawnKey(t *testing.T) {
	fleet := newServingFleet(t, 3)
	frozen := fleet.daemons[2]
	frozen.freeze(t)
	result := make(chan clientResponse, 1)
	go func() { result <- fleet.send(frozen, "GET", "/venues/frozen") }()
	begin := time.Now()
	put := fleet.putConfig(fleet.daemons[0], document(otherSecret), fleet.configRevision)
	assert.Equal(t, put.status, http.StatusOK, string(put.body))
	var accepted operator.Accepted
	assert.NilError(t, json.Unmarshal(put.body, &accepted))
	assert.Equal(t, accepted.Status, operator.StatusAccepted)
	assert.DeepEqual(t, accepted.Missing, []balsamproxy.HostID{frozen.settings.Host})
	assert.Assert(t, time.Since(begin) > 2*time.Second, "accepted before the standing of the suspended daemon expired")
	frozen.signal(t, syscall.SIGCONT)
	response := <-result
	assert.Assert(t, response.status != http.StatusOK, "a withdrawn key was admitted")
	assert.Equal(t, response.outcome, balsamproxy.OutcomeNotRun)
	fleet.awaitStatus(frozen, "GET", "/venues/1", http.StatusUnauthorized)
}

// TestLongStoreOutage keeps the store down until standing depends on peers
// alone, and checks that no request is refused for that reason. Then it suspends
// most of the peers and checks that the remaining daemon refuses requests.
func TestLongStoreOutage(t *testing.T) {
	fleet := newServingFleet(t, 3)
	fleet.store.SetFaults(platform.Faults{Down: true})
	for _, daemon := range fleet.daemons {
		fleet.awaitLog(daemon, `"basis":"peers"`, 1)
	}
	for range 100 {
		for _, daemon := range fleet.daemons {
			response := fleet.send(daemon, "GET", "/venues/1")
			assert.Equal(t, response.status, http.StatusOK, string(response.body))
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

// TestStoreHiddenFromOne partitions one daemon from the store. It must keep
// serving while its peers confirm its standing, and must receive a new
// configuration from them.
func TestStoreHiddenFromOne(t *testing.T) {
	fleet := newServingFleet(t, 3)
	hidden := fleet.daemons[2]
	fleet.store.SetFaults(platform.Faults{RefusedUserAgent: string(hidden.settings.Host)})
	fleet.awaitLog(hidden, `"basis":"peers"`, 1)
	assert.Equal(t, fleet.send(hidden, "GET", "/venues/1").status, http.StatusOK)
	put := fleet.putConfig(fleet.daemons[0], document(otherSecret), fleet.configRevision)
	assert.Equal(t, put.status, http.StatusOK, string(put.body))
	assert.Equal(t, fleet.send(hidden, "GET", "/venues/1").status, http.StatusUnauthorized)
	url := "http://" + hidden.settings.CallerAddress + "/venues/1"
	assert.Equal(t, do(t, "GET", url, nil, bearerHeader(otherSecret)).status, http.StatusOK)
}

// TestOperatorsRace guards against lost updates: two operators replace the same
// revision concurrently, and only one of them may succeed.
func TestOperatorsRace(t *testing.T) {
	fleet := newServingFleet(t, 2)
	changes := []config.Document{document(goodSecret, otherSecret), document(otherSecret)}
	responses := make([]clientResponse, len(changes))
	var racing sync.WaitGroup
	for index, change := range changes {
		racing.Go(func() { responses[index] = fleet.putConfig(fleet.daemons[index], change, fleet.configRevision) })
	}
	racing.Wait()
	winner, loser := responses[0], responses[1]
	if winner.status != http.StatusOK {
		winner, loser = loser, winner
	}
	assert.Equal(t, winner.status, http.StatusOK, string(winner.body))
	assert.Equal(t, loser.status, http.StatusConflict, string(loser.body))
	var problem operator.Problem
	assert.NilError(t, json.Unmarshal(loser.body, &problem))
	var accepted operator.Accepted
	assert.NilError(t, json.Unmarshal(winner.body, &accepted))
	assert.Equal(t, problem.Revision, accepted.Revision)
	assert.Assert(t, len(problem.Difference) > 0, "the response to the losing operator must list the differences")
	stale := fleet.putConfig(fleet.daemons[0], document(otherSecret), fleet.configRevision)
	assert.Equal(t, stale.status, http.StatusConflict, string(stale.body))
}

// TestApplyWithLostAnswer drops the store's response to a write that succeeded.
// After one lost response the operator must be told that it succeeded, and after
// all are lost that it may not have. The document takes effect in both cases.
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
			fleet := newServingFleet(t, 2)
			fleet.store.SetFaults(platform.Faults{DropResponses: test.lost})
			put := fleet.putConfig(fleet.daemons[0], document(otherSecret), fleet.configRevision)
			assert.Equal(t, put.status, test.status, string(put.body))
			for _, daemon := range fleet.daemons {
				fleet.awaitStatus(daemon, "GET", "/venues/1", http.StatusUnauthorized)
			}
		})
	}
}

// TestRateOverAllHosts checks that a client account stays within its rate and
// burst over all hosts while one daemon is killed and restarted and another is
// suspended and resumed.
func TestRateOverAllHosts(t *testing.T) {
	fleet := newServingFleet(t, 4)
	limited := document(goodSecret)
	limited.ClientAccounts[0].Rate = 60
	limited.ClientAccounts[0].Burst = 40
	put := fleet.putConfig(fleet.daemons[0], limited, fleet.configRevision)
	assert.Equal(t, put.status, http.StatusOK, string(put.body))
	var admitted atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	begin := time.Now()
	for index := range 8 {
		callers.Go(func() { fleet.sendUntilStopped(fleet.daemons[index%4], stop, &admitted) })
	}
	fleet.awaitAdmitted(&admitted, 100)
	fleet.daemons[3].signal(t, syscall.SIGKILL)
	fleet.daemons[2].signal(t, syscall.SIGSTOP)
	fleet.awaitAdmitted(&admitted, 150)
	fleet.daemons[2].signal(t, syscall.SIGCONT)
	fleet.startDaemon(fleet.daemons[3])
	fleet.awaitAdmitted(&admitted, 300)
	close(stop)
	callers.Wait()
	elapsed := time.Since(begin)
	most := 40 + 60*elapsed.Seconds()
	got := float64(admitted.Load())
	t.Logf("%.0f requests admitted in %v, limit %.0f", got, elapsed, most)
	assert.Assert(t, got <= most, "%.0f requests admitted, limit %.0f", got, most)
}

// sendUntilStopped sends requests without pause and counts those admitted.
func (fleet *fleet) sendUntilStopped(daemon *daemon, stop <-chan struct{}, admitted *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	for {
		select {
		case <-stop:
			return
		default:
		}
		url := "http://" + daemon.settings.CallerAddress + "/venues/1"
		if doWith(fleet.t.Context(), client, "GET", url, nil, bearerHeader(goodSecret)).status == http.StatusOK {
			admitted.Add(1)
		}
	}
}

func (fleet *fleet) awaitAdmitted(admitted *atomic.Int64, count int64) {
	fleet.t.Helper()
	fleet.await(func() (bool, string) { return admitted.Load() >= count, "too few requests admitted" })
}
