package mesh

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/membership"
)

// TestMisplacedHostIsNotDialled has another daemon answer at the address of a
// host whose record still stands.
func TestMisplacedHostIsNotDialled(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	view := newView("own", "a", &membership.Table{}, zerolog.Nop(), func() time.Time { return now })
	view.list([]balsamproxy.Member{{Host: "own"}, {Host: "old", PeerAddress: "127.0.0.1:1"}})
	assert.DeepEqual(t, view.wanted(), []balsamproxy.HostID{"old"})
	view.misplace("old")
	assert.Equal(t, len(view.wanted()), 0)
	view.greet(balsamproxy.Status{Host: "old", PeerAddress: "127.0.0.1:2"})
	assert.DeepEqual(t, view.wanted(), []balsamproxy.HostID{"old"})
	now = now.Add(time.Minute)
	view.misplace("old")
	now = now.Add(time.Minute)
	assert.DeepEqual(t, view.wanted(), []balsamproxy.HostID{"old"})
}

func TestHomesFollowWhatTheirHoldersSay(t *testing.T) {
	view := newView("own", "a", &membership.Table{}, zerolog.Nop(), time.Now)
	view.learn(balsamproxy.Status{Host: "x", Homes: []int{1, 2}})
	view.learn(balsamproxy.Status{Host: "y", Homes: []int{2}})
	view.learn(balsamproxy.Status{Host: "x", Homes: []int{1}})
	home, found := view.home(2)
	assert.Assert(t, found)
	assert.Equal(t, home, balsamproxy.HostID("y"))
	view.learn(balsamproxy.Status{Host: "y", Leaving: true})
	_, found = view.home(2)
	assert.Assert(t, !found)
	assert.DeepEqual(t, view.present(), []balsamproxy.HostID{"own", "x"})
	view.lose("x")
	assert.DeepEqual(t, view.present(), []balsamproxy.HostID{"own"})
}
