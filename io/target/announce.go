package target

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"balsamproxy"
	"balsamproxy/core/strictjson"
)

const (
	// AnnouncePath is where targets announce themselves.
	AnnouncePath = "/balsamproxy/v1/targets"
	// AnnounceTTL is how long an announcement holds. Targets repeat it well
	// within that time.
	AnnounceTTL = 15 * time.Second

	announceMax = 4 << 10
	slotsMax    = 100_000
)

// Announce takes an announcement. A target that was never seen is added.
func (carrier *Forwarder) Announce(target balsamproxy.Target) {
	before := carrier.Announced()
	carrier.guardFor(target.ID).update(target, carrier.Clock.Now())
	if !slices.Equal(before, carrier.Announced()) {
		carrier.Changed()
	}
}

func (carrier *Forwarder) guardFor(target balsamproxy.TargetID) *guard {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	if carrier.guards == nil {
		carrier.guards = map[balsamproxy.TargetID]*guard{}
	}
	held, found := carrier.guards[target]
	if !found {
		held = newGuard(carrier.Clock)
		carrier.guards[target] = held
	}
	return held
}

// Withdraw ends an announcement; calls under way go on.
func (carrier *Forwarder) Withdraw(target balsamproxy.TargetID) bool {
	guard, found := carrier.guard(target)
	if !found {
		return false
	}
	guard.shut()
	carrier.mutex.Lock()
	delete(carrier.guards, target)
	carrier.mutex.Unlock()
	carrier.Changed()
	return true
}

// Expire withdraws the targets that have been silent for too long, and closes
// connections that have been idle for long.
func (carrier *Forwarder) Expire(now time.Time) {
	carrier.connections.expire(now)
	for _, target := range carrier.Announced() {
		guard, found := carrier.guard(target.ID)
		if found && now.Sub(guard.silentSince()) > AnnounceTTL {
			carrier.Withdraw(target.ID)
		}
	}
}

// Announced returns the targets of this host in order of their ids.
func (carrier *Forwarder) Announced() []balsamproxy.Target {
	carrier.mutex.RLock()
	defer carrier.mutex.RUnlock()
	targets := make([]balsamproxy.Target, 0, len(carrier.guards))
	for _, guard := range carrier.guards {
		targets = append(targets, guard.announced())
	}
	slices.SortFunc(targets, func(left, right balsamproxy.Target) int {
		return strings.Compare(string(left.ID), string(right.ID))
	})
	return targets
}

func (carrier *Forwarder) serveAnnounce(writer http.ResponseWriter, request *http.Request) {
	data, err := readAll(http.MaxBytesReader(writer, request.Body, announceMax))
	if err != nil {
		http.Error(writer, "announcement too large or cut off", http.StatusBadRequest)
		return
	}
	var target balsamproxy.Target
	faults := strictjson.Decode(data, &target)
	if len(faults) == 0 {
		faults = checkTarget(target)
	}
	if len(faults) > 0 {
		http.Error(writer, faults.Error(), http.StatusBadRequest)
		return
	}
	carrier.Announce(target)
	writer.WriteHeader(http.StatusNoContent)
}

func checkTarget(target balsamproxy.Target) strictjson.Faults {
	var faults strictjson.Faults
	if target.ID == "" {
		faults.Add("/id", "is missing")
	}
	if target.Service == "" {
		faults.Add("/service", "is missing")
	}
	host, _, err := net.SplitHostPort(target.Address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || !ip.IsLoopback() {
		faults.Add("/address", "%q must be a loopback IP number and a port", target.Address)
	}
	checkCount(&faults, "/slots", target.Slots)
	checkCount(&faults, "/connections", target.Connections)
	states := []balsamproxy.TargetState{balsamproxy.TargetCold, balsamproxy.TargetReady, balsamproxy.TargetDraining}
	if !slices.Contains(states, target.State) {
		faults.Add("/state", "%q must be one of %q", target.State, states)
	}
	return faults
}

func checkCount(faults *strictjson.Faults, pointer string, count int) {
	if count < 1 || count > slotsMax {
		faults.Add(pointer, "%d is not between 1 and %d", count, slotsMax)
	}
}

func (carrier *Forwarder) serveWithdraw(writer http.ResponseWriter, request *http.Request) {
	if !carrier.Withdraw(balsamproxy.TargetID(request.PathValue("target"))) {
		http.Error(writer, "no such target here", http.StatusNotFound)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
