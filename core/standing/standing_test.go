package standing_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/standing"
)

// step is the logical time between two rounds of questions.
const step = 800 * time.Millisecond

// world is a store and hosts in logical time. Each host holds what it last
// learnt; links say who reaches whom.
type world struct {
	now      time.Time
	store    balsamproxy.Revisions
	hosts    []balsamproxy.HostID
	daemons  map[balsamproxy.HostID]*standing.Standing
	storeFor func(balsamproxy.HostID) bool
	linked   func(from, to balsamproxy.HostID) bool
	frozen   map[balsamproxy.HostID]bool
	roster   balsamproxy.Roster
}

func newWorld(count int) *world {
	world := &world{
		now:      time.Unix(1_000_000, 0),
		store:    balsamproxy.Revisions{Config: 10, Roster: 5, Homes: 3},
		daemons:  map[balsamproxy.HostID]*standing.Standing{},
		storeFor: func(balsamproxy.HostID) bool { return true },
		linked:   func(_, _ balsamproxy.HostID) bool { return true },
		frozen:   map[balsamproxy.HostID]bool{},
	}
	for index := range count {
		world.hosts = append(world.hosts, balsamproxy.HostID(fmt.Sprintf("host-%02d", index)))
	}
	world.roster = balsamproxy.Roster{Hosts: world.hosts}
	for _, host := range world.hosts {
		world.daemons[host] = &standing.Standing{Host: host}
		world.daemons[host].SetHeld(world.store, world.roster)
	}
	return world
}

// run lets time pass, with one round of questions in each step.
func (world *world) run(duration time.Duration) {
	for end := world.now.Add(duration); world.now.Before(end); world.now = world.now.Add(step) {
		for _, host := range world.hosts {
			if !world.frozen[host] {
				world.round(host)
			}
		}
	}
}

func (world *world) round(host balsamproxy.HostID) {
	daemon := world.daemons[host]
	if world.storeFor(host) {
		daemon.SetHeld(world.store, world.roster)
		daemon.RecordStoreRead(world.now, world.store)
		return
	}
	for _, peer := range world.hosts {
		if peer != host && !world.frozen[peer] && world.linked(host, peer) {
			daemon.RecordPeerRevisions(world.now, peer, world.daemons[peer].Held())
		}
	}
}

func (world *world) withStanding() int {
	count := 0
	for _, daemon := range world.daemons {
		if daemon.Has(world.now) {
			count++
		}
	}
	return count
}

// accept stores a configuration from a host and returns whether it comes into
// force within a time.
func (world *world) accept(from balsamproxy.HostID, within time.Duration) bool {
	world.store.Config++
	acceptance := standing.Rollout{Wanted: balsamproxy.Revisions{Config: world.store.Config}, Hosts: world.hosts, StoredAt: world.now}
	for end := world.now.Add(within); world.now.Before(end); {
		world.run(step)
		for _, host := range world.hosts {
			if !world.frozen[host] && world.linked(from, host) {
				acceptance.RecordHeld(host, world.daemons[host].Held(), world.now)
			}
		}
		if acceptance.InForce(world.now) {
			return true
		}
	}
	return false
}

func TestStandingThroughFailures(t *testing.T) {
	last := balsamproxy.HostID("host-14")
	cases := map[string]struct {
		fail func(*world)
		run  time.Duration
		want int
	}{
		"all well": {fail: func(*world) {}, run: time.Minute, want: 15},
		"store out for an hour": {
			fail: func(world *world) { world.storeFor = func(balsamproxy.HostID) bool { return false } },
			run:  time.Hour, want: 15,
		},
		"one host cut off from all": {
			fail: func(world *world) { world.cut(func(host balsamproxy.HostID) bool { return host == last }) },
			run:  3 * time.Second, want: 14,
		},
		"one host cut off from the store only": {
			fail: func(world *world) {
				world.storeFor = func(host balsamproxy.HostID) bool { return host != last }
			},
			run: time.Minute, want: 15,
		},
		"store out and one host cut off": {
			fail: func(world *world) {
				world.cut(func(host balsamproxy.HostID) bool { return host == last })
				world.storeFor = func(balsamproxy.HostID) bool { return false }
			},
			run: 3 * time.Second, want: 14,
		},
		"seven split off without the store": {
			fail: func(world *world) { world.cut(func(host balsamproxy.HostID) bool { return host >= "host-08" }) },
			run:  3 * time.Second, want: 8,
		},
		"eight split off without the store": {
			fail: func(world *world) { world.cut(func(host balsamproxy.HostID) bool { return host >= "host-07" }) },
			run:  time.Minute, want: 15,
		},
		"host frozen": {
			fail: func(world *world) { world.frozen[last] = true },
			run:  3 * time.Second, want: 14,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			world := newWorld(15)
			world.run(step)
			test.fail(world)
			world.run(test.run)
			assert.Equal(t, world.withStanding(), test.want)
		})
	}
}

// cut splits a part of the hosts off; the store stays with the others.
func (world *world) cut(apart func(balsamproxy.HostID) bool) {
	world.linked = func(from, to balsamproxy.HostID) bool { return apart(from) == apart(to) }
	world.storeFor = func(host balsamproxy.HostID) bool { return !apart(host) }
}

// TestAcceptedMeansInForce accepts a configuration under failures. If it is
// reported in force, no daemon with standing may hold an older one.
func TestAcceptedMeansInForce(t *testing.T) {
	cases := map[string]struct {
		fail     func(*world)
		accepted bool
	}{
		"all well": {fail: func(*world) {}, accepted: true},
		"one host cut off": {
			fail:     func(world *world) { world.cut(func(host balsamproxy.HostID) bool { return host == "host-14" }) },
			accepted: true,
		},
		"one host frozen":   {fail: func(world *world) { world.frozen["host-14"] = true }, accepted: true},
		"seven hosts apart": {fail: func(world *world) { world.cut(func(host balsamproxy.HostID) bool { return host >= "host-08" }) }, accepted: true},
		"the store with seven of fifteen": {
			fail:     func(world *world) { world.cut(func(host balsamproxy.HostID) bool { return host >= "host-07" }) },
			accepted: false,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			world := newWorld(15)
			world.run(step)
			test.fail(world)
			accepted := world.accept("host-00", 10*time.Second)
			assert.Equal(t, accepted, test.accepted)
			if !accepted {
				return
			}
			for host, daemon := range world.daemons {
				stale := daemon.Held().Config < world.store.Config
				assert.Assert(t, !stale || !daemon.Has(world.now), "%s has standing with an old configuration", host)
			}
		})
	}
}

// TestFrozenHostWakes checks standing at the instant of use after a freeze.
func TestFrozenHostWakes(t *testing.T) {
	world := newWorld(3)
	world.run(step)
	world.frozen["host-01"] = true
	world.run(time.Minute)
	assert.Assert(t, !world.daemons["host-01"].Has(world.now))
	world.frozen["host-01"] = false
	world.run(step)
	assert.Assert(t, world.daemons["host-01"].Has(world.now))
}

func TestStoreWithoutPastConfirmsNothing(t *testing.T) {
	world := newWorld(3)
	daemon := world.daemons["host-00"]
	older := world.store
	older.Config--
	daemon.RecordStoreRead(world.now, older)
	assert.Assert(t, !daemon.Has(world.now))
	assert.Equal(t, daemon.Held(), world.store)
}

func TestRosterSteps(t *testing.T) {
	roster := balsamproxy.Roster{Hosts: []balsamproxy.HostID{"a", "b", "c"}}
	grown := standing.AddHost(roster, "d")
	cases := map[string]struct {
		roster  balsamproxy.Roster
		holders []balsamproxy.HostID
		may     bool
	}{
		"none knows the step":             {grown, nil, false},
		"the new host does not count":     {grown, []balsamproxy.HostID{"d", "a"}, false},
		"two of the three before":         {grown, []balsamproxy.HostID{"a", "b"}, true},
		"removed host does not hold":      {standing.RemoveHost(roster, "c"), []balsamproxy.HostID{"a"}, false},
		"two of three before the removal": {standing.RemoveHost(roster, "c"), []balsamproxy.HostID{"a", "b"}, true},
		"first host":                      {standing.AddHost(balsamproxy.Roster{}, "a"), nil, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			holds := func(host balsamproxy.HostID) bool {
				for _, holder := range test.holders {
					if holder == host {
						return true
					}
				}
				return false
			}
			assert.Equal(t, standing.MayChange(test.roster, holds), test.may)
		})
	}
}
