package inflight_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/inflight"
)

func TestCongestionOfNestedCallsIsKeptUntilTheParentEnds(t *testing.T) {
	var table inflight.Table
	table.Begin("span", inflight.Parent{})
	assert.Equal(t, table.Congestion("span"), balsamproxy.CongestionNone)
	parent, found := table.Find("span")
	assert.Assert(t, found)
	parent.RecordCongestion(balsamproxy.CongestionRejected)
	parent.RecordCongestion(balsamproxy.CongestionNone)
	assert.Equal(t, table.Congestion("span"), balsamproxy.CongestionRejected)
	table.End("span")
	assert.Equal(t, table.Congestion("span"), balsamproxy.CongestionNone)
	inflight.Parent{}.RecordCongestion(balsamproxy.CongestionRejected)
}
