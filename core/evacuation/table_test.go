package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/era"
)

// TestTable guards against evacuations that are lost, or taken back, because a peer
// reports an earlier state after a later one.
func TestTable(t *testing.T) {
	begun, ended := balsamproxy.Evacuation{DataCentre: "a", Revision: 10, Evacuated: true}, balsamproxy.Evacuation{DataCentre: "a", Revision: 12}
	cases := map[string]struct {
		change func(*Table)
		want   bool
	}{
		"nothing known":               {func(*Table) {}, false},
		"evacuated":                   {func(table *Table) { table.Merge([]balsamproxy.Evacuation{begun}) }, true},
		"taken back":                  {func(table *Table) { table.Merge([]balsamproxy.Evacuation{begun, ended}) }, false},
		"earlier state after a later": {func(table *Table) { table.Merge([]balsamproxy.Evacuation{ended, begun}) }, false},
		"evacuated again": {func(table *Table) {
			table.Merge([]balsamproxy.Evacuation{begun, ended, {DataCentre: "a", Revision: 13, Evacuated: true}})
		}, true},
		"another data centre": {func(table *Table) {
			table.Merge([]balsamproxy.Evacuation{{DataCentre: "b", Revision: 20, Evacuated: true}})
		}, false},
		"gone from a list": {func(table *Table) {
			table.Merge([]balsamproxy.Evacuation{begun})
			table.Replace(nil, era.Position{Revision: 11})
		}, false},
		"gone from an earlier list": {func(table *Table) {
			table.Merge([]balsamproxy.Evacuation{begun})
			table.Replace(nil, era.Position{Revision: 9})
		}, true},
		"in a list": {func(table *Table) { table.Replace([]balsamproxy.Evacuation{begun}, era.Position{Revision: 11}) }, true},
		"lower revision of a later era": {func(table *Table) {
			table.Merge([]balsamproxy.Evacuation{{DataCentre: "a", Revision: 10, Evacuated: true, Era: 1}, {DataCentre: "a", Revision: 3, Era: 2}})
		}, false},
		"higher revision of an earlier era": {func(table *Table) {
			table.Merge([]balsamproxy.Evacuation{{DataCentre: "a", Revision: 3, Era: 2}, {DataCentre: "a", Revision: 10, Evacuated: true, Era: 1}})
		}, false},
		"later state of a peer than a list": {func(table *Table) {
			table.Replace([]balsamproxy.Evacuation{begun}, era.Position{Revision: 11})
			table.Merge([]balsamproxy.Evacuation{ended})
		}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{}
			test.change(table)
			assert.Equal(t, table.Contains("a"), test.want)
			assert.Equal(t, table.Contains("c"), false)
			assert.Equal(t, table.Any(), test.want || table.Contains("b"))
		})
	}
}
