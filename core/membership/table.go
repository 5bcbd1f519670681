// Package membership maintains a table of the hosts in the fleet and the targets
// on them.
package membership

import (
	"sync"

	"balsamproxy"
	"balsamproxy/core/shard"
)

// Endpoint is one target with the host that it runs on.
type Endpoint struct {
	Host       balsamproxy.HostID
	DataCentre balsamproxy.DataCentreID
	Target     balsamproxy.Target
}

// Table holds the members of the fleet and, for each service, the targets that
// accept work. The zero value is an empty table.
type Table struct {
	hosts memberTable
	// services holds immutable slices: an update replaces the slice.
	services shard.Map[balsamproxy.ServiceID, []Endpoint]
}

type memberTable struct {
	sync.RWMutex
	members map[balsamproxy.HostID]record
}

type record struct {
	member   balsamproxy.Member
	revision balsamproxy.Revision
}
