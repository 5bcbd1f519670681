package mesh

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/membership"
)

// TestMisplacedHostIsNotDialled guards against dialling a host again and again
// when another daemon has taken over its address but its record has not expired
// yet. A greeting or the end of replacedTTL makes it eligible again.
func TestMisplacedHostIsNotDialled(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	view := newView("own", "a", &membership.Table{}, zerolog.Nop(), func() time.Time { return now })
	view.setMembers([]balsamproxy.Member{{Host: "own"}, {Host: "old", PeerAddress: "127.0.0.1:1"}})
	assert.DeepEqual(t, view.hostsToDial(), []balsamproxy.HostID{"old"})
	view.markReplaced("old")
	assert.Equal(t, len(view.hostsToDial()), 0)
	view.recordGreeting(balsamproxy.Status{Host: "old", PeerAddress: "127.0.0.1:2"})
	assert.DeepEqual(t, view.hostsToDial(), []balsamproxy.HostID{"old"})
	now = now.Add(time.Minute)
	view.markReplaced("old")
	now = now.Add(time.Minute)
	assert.DeepEqual(t, view.hostsToDial(), []balsamproxy.HostID{"old"})
}

// TestHomesFollowWhatTheirHoldersSay checks that the home of a group is the host
// that announced it last, also when the statuses of two hosts overlap.
func TestHomesFollowWhatTheirHoldersSay(t *testing.T) {
	view := newView("own", "a", &membership.Table{}, zerolog.Nop(), time.Now)
	view.update(balsamproxy.Status{Host: "x", Homes: []int{1, 2}})
	view.update(balsamproxy.Status{Host: "y", Homes: []int{2}})
	view.update(balsamproxy.Status{Host: "x", Homes: []int{1}})
	home, found := view.home(2)
	assert.Assert(t, found)
	assert.Equal(t, home, balsamproxy.HostID("y"))
	view.update(balsamproxy.Status{Host: "y", Leaving: true})
	_, found = view.home(2)
	assert.Assert(t, !found)
	assert.DeepEqual(t, view.availableHosts(), []balsamproxy.HostID{"own", "x"})
	view.remove("x")
	assert.DeepEqual(t, view.availableHosts(), []balsamproxy.HostID{"own"})
}
