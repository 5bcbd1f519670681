package standing_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/standing"
)

// step is the logical time between two rounds of requests.
const step = 800 * time.Millisecond

// cluster simulates a store and hosts in logical time. Each host holds the
// documents that it read last, and linked reports which hosts reach each other.
type cluster struct {
	now            time.Time
	store          balsamproxy.Revisions
	hosts          []balsamproxy.HostID
	daemons        map[balsamproxy.HostID]*standing.Standing
	storeReachable func(balsamproxy.HostID) bool
	linked         func(from, to balsamproxy.HostID) bool
	frozen         map[balsamproxy.HostID]bool
	roster         balsamproxy.Roster
}

func newCluster(count int) *cluster {
	cluster := &cluster{
		now:            time.Unix(1_000_000, 0),
		store:          balsamproxy.Revisions{Config: 10, Roster: 5, Homes: 3},
		daemons:        map[balsamproxy.HostID]*standing.Standing{},
		storeReachable: func(balsamproxy.HostID) bool { return true },
		linked:         func(_, _ balsamproxy.HostID) bool { return true },
		frozen:         map[balsamproxy.HostID]bool{},
	}
	for index := range count {
		cluster.hosts = append(cluster.hosts, balsamproxy.HostID(fmt.Sprintf("host-%02d", index)))
	}
	cluster.roster = balsamproxy.Roster{Hosts: cluster.hosts}
	for _, host := range cluster.hosts {
		cluster.daemons[host] = &standing.Standing{Host: host}
		cluster.daemons[host].SetHeld(cluster.store, cluster.roster)
	}
	return cluster
}

// run advances the time, with one round of requests in each step.
func (cluster *cluster) run(duration time.Duration) {
	for end := cluster.now.Add(duration); cluster.now.Before(end); cluster.now = cluster.now.Add(step) {
		for _, host := range cluster.hosts {
			if !cluster.frozen[host] {
				cluster.round(host)
			}
		}
	}
}

func (cluster *cluster) round(host balsamproxy.HostID) {
	daemon := cluster.daemons[host]
	if cluster.storeReachable(host) {
		daemon.SetHeld(cluster.store, cluster.roster)
		daemon.RecordStoreRead(cluster.now, cluster.store)
		return
	}
	for _, peer := range cluster.hosts {
		if peer != host && !cluster.frozen[peer] && cluster.linked(host, peer) {
			daemon.RecordPeerRevisions(cluster.now, peer, cluster.daemons[peer].Held())
		}
	}
}

func (cluster *cluster) withStanding() int {
	count := 0
	for _, daemon := range cluster.daemons {
		if daemon.Has(cluster.now) {
			count++
		}
	}
	return count
}

// accept stores a configuration from a host and reports whether it comes into
// force within a time.
func (cluster *cluster) accept(from balsamproxy.HostID, within time.Duration) bool {
	cluster.store.Config++
	rollout := standing.Rollout{Wanted: balsamproxy.Revisions{Config: cluster.store.Config}, Hosts: cluster.hosts, StoredAt: cluster.now}
	for end := cluster.now.Add(within); cluster.now.Before(end); {
		cluster.run(step)
		for _, host := range cluster.hosts {
			if !cluster.frozen[host] && cluster.linked(from, host) {
				rollout.RecordHeld(host, cluster.daemons[host].Held(), cluster.now)
			}
		}
		if rollout.InForce(cluster.now) {
			return true
		}
	}
	return false
}

func TestStandingThroughFailures(t *testing.T) {
	last := balsamproxy.HostID("host-14")
	cases := map[string]struct {
		fail func(*cluster)
		run  time.Duration
		want int
	}{
		"no failure": {fail: func(*cluster) {}, run: time.Minute, want: 15},
		"store unavailable for an hour": {
			fail: func(cluster *cluster) { cluster.storeReachable = func(balsamproxy.HostID) bool { return false } },
			run:  time.Hour, want: 15,
		},
		"one host partitioned from the store and all others": {
			fail: func(cluster *cluster) { cluster.partition(func(host balsamproxy.HostID) bool { return host == last }) },
			run:  3 * time.Second, want: 14,
		},
		"one host partitioned from the store only": {
			fail: func(cluster *cluster) {
				cluster.storeReachable = func(host balsamproxy.HostID) bool { return host != last }
			},
			run: time.Minute, want: 15,
		},
		"store unavailable and one host partitioned": {
			fail: func(cluster *cluster) {
				cluster.partition(func(host balsamproxy.HostID) bool { return host == last })
				cluster.storeReachable = func(balsamproxy.HostID) bool { return false }
			},
			run: 3 * time.Second, want: 14,
		},
		"seven hosts partitioned without the store": {
			fail: func(cluster *cluster) {
				cluster.partition(func(host balsamproxy.HostID) bool { return host >= "host-08" })
			},
			run: 3 * time.Second, want: 8,
		},
		"eight hosts partitioned without the store": {
			fail: func(cluster *cluster) {
				cluster.partition(func(host balsamproxy.HostID) bool { return host >= "host-07" })
			},
			run: time.Minute, want: 15,
		},
		"host frozen": {
			fail: func(cluster *cluster) { cluster.frozen[last] = true },
			run:  3 * time.Second, want: 14,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(15)
			cluster.run(step)
			test.fail(cluster)
			cluster.run(test.run)
			assert.Equal(t, cluster.withStanding(), test.want)
		})
	}
}

// partition separates some hosts from the others, which keep the store.
func (cluster *cluster) partition(isolated func(balsamproxy.HostID) bool) {
	cluster.linked = func(from, to balsamproxy.HostID) bool { return isolated(from) == isolated(to) }
	cluster.storeReachable = func(host balsamproxy.HostID) bool { return !isolated(host) }
}

// TestAcceptedMeansInForce stores a configuration during failures. If it is
// reported in force, no daemon with standing may hold an older one.
func TestAcceptedMeansInForce(t *testing.T) {
	cases := map[string]struct {
		fail     func(*cluster)
		accepted bool
	}{
		"no failure": {fail: func(*cluster) {}, accepted: true},
		"one host partitioned": {
			fail: func(cluster *cluster) {
				cluster.partition(func(host balsamproxy.HostID) bool { return host == "host-14" })
			},
			accepted: true,
		},
		"one host frozen": {fail: func(cluster *cluster) { cluster.frozen["host-14"] = true }, accepted: true},
		"seven hosts partitioned": {fail: func(cluster *cluster) {
			cluster.partition(func(host balsamproxy.HostID) bool { return host >= "host-08" })
		}, accepted: true},
		"store reachable by seven of fifteen hosts": {
			fail: func(cluster *cluster) {
				cluster.partition(func(host balsamproxy.HostID) bool { return host >= "host-07" })
			},
			accepted: false,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(15)
			cluster.run(step)
			test.fail(cluster)
			accepted := cluster.accept("host-00", 10*time.Second)
			assert.Equal(t, accepted, test.accepted)
			if !accepted {
				return
			}
			for host, daemon := range cluster.daemons {
				stale := daemon.Held().Config < cluster.store.Config
				assert.Assert(t, !stale || !daemon.Has(cluster.now), "%s has standing with an old configuration", host)
			}
		})
	}
}

// TestStandingAfterFreeze checks that a host has no standing when it resumes
// after a freeze, until it has confirmed its documents again.
func TestStandingAfterFreeze(t *testing.T) {
	cluster := newCluster(3)
	cluster.run(step)
	cluster.frozen["host-01"] = true
	cluster.run(time.Minute)
	assert.Assert(t, !cluster.daemons["host-01"].Has(cluster.now))
	cluster.frozen["host-01"] = false
	cluster.run(step)
	assert.Assert(t, cluster.daemons["host-01"].Has(cluster.now))
}

// TestRevertedStoreDoesNotConfirm guards against standing that rests on a store
// which has lost data and returns a lower revision than the daemon holds.
func TestRevertedStoreDoesNotConfirm(t *testing.T) {
	cluster := newCluster(3)
	daemon := cluster.daemons["host-00"]
	older := cluster.store
	older.Config--
	daemon.RecordStoreRead(cluster.now, older)
	assert.Assert(t, !daemon.Has(cluster.now))
	assert.Equal(t, daemon.Held(), cluster.store)
}

func TestMayChange(t *testing.T) {
	roster := balsamproxy.Roster{Hosts: []balsamproxy.HostID{"a", "b", "c"}}
	withAdded := standing.AddHost(roster, "d")
	cases := map[string]struct {
		roster  balsamproxy.Roster
		holders []balsamproxy.HostID
		may     bool
	}{
		"no host holds the change":         {withAdded, nil, false},
		"the new host does not count":      {withAdded, []balsamproxy.HostID{"d", "a"}, false},
		"two of three before the addition": {withAdded, []balsamproxy.HostID{"a", "b"}, true},
		"removed host does not hold":       {standing.RemoveHost(roster, "c"), []balsamproxy.HostID{"a"}, false},
		"two of three before the removal":  {standing.RemoveHost(roster, "c"), []balsamproxy.HostID{"a", "b"}, true},
		"first host":                       {standing.AddHost(balsamproxy.Roster{}, "a"), nil, true},
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
