package membership_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/membership"
)

func member(host balsamproxy.HostID, states ...balsamproxy.TargetState) balsamproxy.Member {
	member := balsamproxy.Member{Host: host}
	for _, state := range states {
		target := balsamproxy.Target{ID: balsamproxy.TargetID(host), Service: "venues", State: state}
		member.Targets = append(member.Targets, target)
	}
	return member
}

func TestTable(t *testing.T) {
	leaving := member("a", balsamproxy.TargetReady)
	leaving.Leaving = true
	cases := map[string]struct {
		change func(*membership.Table)
		want   int
	}{
		"empty":           {func(*membership.Table) {}, 0},
		"one target":      {func(table *membership.Table) { table.Put(member("a", balsamproxy.TargetReady), 5) }, 1},
		"draining target": {func(table *membership.Table) { table.Put(member("a", balsamproxy.TargetDraining), 5) }, 0},
		"leaving host":    {func(table *membership.Table) { table.Put(leaving, 5) }, 0},
		"host marked as leaving": {func(table *membership.Table) {
			table.Put(member("a", balsamproxy.TargetReady), 5)
			table.MarkLeaving("a")
		}, 0},
		"record replaced": {func(table *membership.Table) {
			table.Put(member("a", balsamproxy.TargetReady), 5)
			table.Put(member("a"), 6)
		}, 0},
		"older record ignored": {func(table *membership.Table) {
			table.Put(member("a"), 6)
			table.Put(member("a", balsamproxy.TargetReady), 5)
		}, 0},
		"record removed": {func(table *membership.Table) {
			table.Put(member("a", balsamproxy.TargetReady), 5)
			table.Remove("a", 6)
		}, 0},
		"older removal ignored": {func(table *membership.Table) {
			table.Put(member("a", balsamproxy.TargetReady), 5)
			table.Remove("a", 4)
		}, 1},
		"snapshot removes absent hosts": {func(table *membership.Table) {
			table.Put(member("a", balsamproxy.TargetReady), 5)
			table.ApplySnapshot(nil, nil, 9)
		}, 0},
		"snapshot keeps newer records": {func(table *membership.Table) {
			table.Put(member("a", balsamproxy.TargetReady), 10)
			table.ApplySnapshot(nil, nil, 9)
		}, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := &membership.Table{}
			test.change(table)
			assert.Equal(t, len(table.Endpoints("venues")), test.want)
		})
	}
}
