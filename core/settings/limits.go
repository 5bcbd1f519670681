package settings

import (
	"balsamproxy/core/memory"
	"balsamproxy/core/strictjson"
)

const (
	// defaultBodyMemoryMB and defaultConnections apply without a memory limit.
	defaultBodyMemoryMB = 64
	defaultConnections  = 4096
	// bodyMemoryNumerator and bodyMemoryDenominator give the default fraction of the
	// memory limit for bodies.
	bodyMemoryNumerator   = 7
	bodyMemoryDenominator = 16
	// requestMemoryNumerator and requestMemoryDenominator give the largest fraction of
	// the memory limit for bodies of requests.
	requestMemoryNumerator   = 3
	requestMemoryDenominator = 8
	// maxBodyMemoryDivisor limits the memory for bodies to a fraction of the memory
	// limit. The rest is for links, connections and the garbage of the Go runtime.
	maxBodyMemoryDivisor = 2
	// maxBodyMemoryMB applies without a memory limit.
	maxBodyMemoryMB = 65536
	// defaultConnectionMemoryMB applies without a memory limit.
	defaultConnectionMemoryMB = 192
	// connectionMemoryDivisor gives the default fraction of the memory limit for
	// connections and calls, maxConnectionMemoryDivisor the largest one.
	connectionMemoryDivisor    = 8
	maxConnectionMemoryDivisor = 4
	// connectionsPerMB is the default number of connections per megabyte.
	connectionsPerMB = 4
	// connectionShareNumerator and connectionShareDenominator give the largest fraction of
	// the memory for connections and calls that connections may use by themselves.
	connectionShareNumerator   = 3
	connectionShareDenominator = 4
	maxConnections             = 65536
)

// Limits are the settings that bound the memory and the connections of a daemon.
type Limits struct {
	// MemoryMB is the memory limit of the process in megabytes; zero means none.
	MemoryMB int `json:"memory-mb,omitempty"`
	// BodyMemoryMB is the memory for bodies of requests and responses in megabytes;
	// zero means the default.
	BodyMemoryMB int `json:"body-memory-mb,omitempty"`
	// ConnectionMemoryMB is the memory for connections of callers, and for requests and
	// calls in flight besides their bodies, in megabytes; zero means the default.
	ConnectionMemoryMB int `json:"connection-memory-mb,omitempty"`
	// CallerConnections is the maximum number of connections of callers; zero means
	// the default.
	CallerConnections int `json:"caller-connections,omitempty"`
}

func (limits Limits) checkLimits(faults *strictjson.Faults) {
	if limits.MemoryMB < 0 {
		faults.Add("/memory-mb", "%d is below 0", limits.MemoryMB)
	}
	checkRange(faults, "/body-memory-mb", limits.BodyMemoryMB, limits.maxBodyMemoryMB())
	checkRange(faults, "/connection-memory-mb", limits.ConnectionMemoryMB, limits.maxConnectionMemoryMB())
	checkRange(faults, "/caller-connections", limits.CallerConnections, maxConnections)
}

// checkRange checks an entry that may be absent.
func checkRange(faults *strictjson.Faults, pointer string, value, most int) {
	if value < 0 || value > most {
		faults.Add(pointer, "%d is not between 1 and %d", value, most)
	}
}

func (limits Limits) maxBodyMemoryMB() int {
	if limits.MemoryMB <= 0 {
		return maxBodyMemoryMB
	}
	return max(1, limits.MemoryMB/maxBodyMemoryDivisor)
}

func (limits Limits) maxConnectionMemoryMB() int {
	if limits.MemoryMB <= 0 {
		return maxBodyMemoryMB
	}
	return max(1, limits.MemoryMB/maxConnectionMemoryDivisor)
}

// ConnectionMemory returns the memory for connections of callers, and for requests and
// calls in flight besides their bodies, in bytes.
func (limits Limits) ConnectionMemory() int64 {
	switch {
	case limits.ConnectionMemoryMB > 0:
		return int64(limits.ConnectionMemoryMB) << 20
	case limits.MemoryMB == 0:
		return defaultConnectionMemoryMB << 20
	default:
		return int64(limits.MemoryMB) << 20 / connectionMemoryDivisor
	}
}

// Budget returns the memory for bodies, connections and calls.
func (limits Limits) Budget() *memory.Budget {
	budget := memory.NewBudget(limits.BodyMemory())
	budget.Overhead = limits.ConnectionMemory()
	return budget
}

// BodyMemory returns the memory for bodies, and the part of it that bodies of requests
// may use, in bytes.
func (limits Limits) BodyMemory() (total, requests int64) {
	limit := int64(limits.MemoryMB) << 20
	total = int64(limits.BodyMemoryMB) << 20
	switch {
	case total == 0 && limit == 0:
		total = defaultBodyMemoryMB << 20
	case total == 0:
		total = limit * bodyMemoryNumerator / bodyMemoryDenominator
	}
	if limit == 0 {
		return total, total
	}
	return total, min(total, limit*requestMemoryNumerator/requestMemoryDenominator)
}

// MaxCallerConnections returns the maximum number of connections of callers of a process
// that may open this many descriptors. It leaves memory for the requests on them.
func (limits Limits) MaxCallerConnections(descriptors int) int {
	limit := limits.CallerConnections
	switch {
	case limit == 0 && limits.MemoryMB == 0:
		limit = defaultConnections
	case limit == 0:
		limit = connectionsPerMB * limits.MemoryMB
	}
	room := limits.ConnectionMemory() * connectionShareNumerator / connectionShareDenominator / memory.ConnectionBytes
	return max(1, min(limit, descriptors/2, int(room)))
}
