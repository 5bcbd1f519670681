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
	// AnnounceTTL is how long an announcement stays valid. Targets repeat it at
	// shorter intervals.
	AnnounceTTL = 15 * time.Second

	announceBytesMax = 4 << 10
	slotsMax         = 100_000
)

// Announce applies an announcement. An unknown target is added.
func (forwarder *Forwarder) Announce(target balsamproxy.Target) {
	before := forwarder.Announced()
	forwarder.lookupOrCreate(target.ID).update(target, forwarder.Clock.Now())
	if !slices.Equal(before, forwarder.Announced()) {
		forwarder.Changed()
	}
}

func (forwarder *Forwarder) lookupOrCreate(target balsamproxy.TargetID) *limitedTarget {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	if forwarder.targets == nil {
		forwarder.targets = map[balsamproxy.TargetID]*limitedTarget{}
	}
	limited, found := forwarder.targets[target]
	if !found {
		limited = newLimitedTarget(forwarder.Clock)
		forwarder.targets[target] = limited
	}
	return limited
}

// Withdraw removes a target and reports whether it was known. Calls in flight
// continue.
func (forwarder *Forwarder) Withdraw(target balsamproxy.TargetID) bool {
	limited, found := forwarder.lookup(target)
	if !found {
		return false
	}
	limited.stopAccepting()
	forwarder.mutex.Lock()
	delete(forwarder.targets, target)
	forwarder.mutex.Unlock()
	forwarder.Changed()
	return true
}

// Expire withdraws the targets whose announcement has expired and closes
// connections that reached the idle timeout.
func (forwarder *Forwarder) Expire(now time.Time) {
	forwarder.connections.closeExpired(now)
	for _, target := range forwarder.Announced() {
		limited, found := forwarder.lookup(target.ID)
		if found && now.Sub(limited.lastAnnounced()) > AnnounceTTL {
			forwarder.Withdraw(target.ID)
		}
	}
}

// Announced returns the targets of this host, sorted by id.
func (forwarder *Forwarder) Announced() []balsamproxy.Target {
	forwarder.mutex.RLock()
	defer forwarder.mutex.RUnlock()
	targets := make([]balsamproxy.Target, 0, len(forwarder.targets))
	for _, limited := range forwarder.targets {
		targets = append(targets, limited.announced())
	}
	slices.SortFunc(targets, func(left, right balsamproxy.Target) int {
		return strings.Compare(string(left.ID), string(right.ID))
	})
	return targets
}

func (forwarder *Forwarder) serveAnnounce(writer http.ResponseWriter, request *http.Request) {
	data, err := readAll(http.MaxBytesReader(writer, request.Body, announceBytesMax))
	if err != nil {
		http.Error(writer, "announcement too large or cut off", http.StatusBadRequest)
		return
	}
	var target balsamproxy.Target
	faults := strictjson.Decode(data, &target)
	if len(faults) == 0 {
		faults = validateTarget(target)
	}
	if len(faults) > 0 {
		http.Error(writer, faults.Error(), http.StatusBadRequest)
		return
	}
	forwarder.Announce(target)
	writer.WriteHeader(http.StatusNoContent)
}

func validateTarget(target balsamproxy.Target) strictjson.Faults {
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
	validateCount(&faults, "/slots", target.Slots)
	validateCount(&faults, "/connections", target.Connections)
	states := []balsamproxy.TargetState{balsamproxy.TargetCold, balsamproxy.TargetReady, balsamproxy.TargetDraining}
	if !slices.Contains(states, target.State) {
		faults.Add("/state", "%q must be one of %q", target.State, states)
	}
	return faults
}

func validateCount(faults *strictjson.Faults, pointer string, count int) {
	if count < 1 || count > slotsMax {
		faults.Add(pointer, "%d is not between 1 and %d", count, slotsMax)
	}
}

func (forwarder *Forwarder) serveWithdraw(writer http.ResponseWriter, request *http.Request) {
	if !forwarder.Withdraw(balsamproxy.TargetID(request.PathValue("target"))) {
		http.Error(writer, "no such target here", http.StatusNotFound)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
