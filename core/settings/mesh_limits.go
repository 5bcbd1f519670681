package settings

import "balsamproxy/core/strictjson"

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
	// connectionsPerMB is the default number of connections per megabyte.
	connectionsPerMB = 4
	maxConnections   = 65536
)

func (mesh Mesh) checkLimits(faults *strictjson.Faults) {
	checkRange(faults, "/body-memory-mb", mesh.BodyMemoryMB, mesh.maxBodyMemoryMB())
	checkRange(faults, "/caller-connections", mesh.CallerConnections, maxConnections)
}

// checkRange checks an entry that may be absent.
func checkRange(faults *strictjson.Faults, pointer string, value, most int) {
	if value < 0 || value > most {
		faults.Add(pointer, "%d is not between 1 and %d", value, most)
	}
}

func (mesh Mesh) maxBodyMemoryMB() int {
	if mesh.MemoryMB <= 0 {
		return maxBodyMemoryMB
	}
	return max(1, mesh.MemoryMB/maxBodyMemoryDivisor)
}

// BodyMemory returns the memory for bodies, and the part of it that bodies of requests
// may use, in bytes.
func (mesh Mesh) BodyMemory() (total, requests int64) {
	memory := int64(mesh.MemoryMB) << 20
	total = int64(mesh.BodyMemoryMB) << 20
	switch {
	case total == 0 && memory == 0:
		total = defaultBodyMemoryMB << 20
	case total == 0:
		total = memory * bodyMemoryNumerator / bodyMemoryDenominator
	}
	if memory == 0 {
		return total, total
	}
	return total, min(total, memory*requestMemoryNumerator/requestMemoryDenominator)
}

// MaxCallerConnections returns the maximum number of connections of callers of a process
// that may open this many descriptors.
func (mesh Mesh) MaxCallerConnections(descriptors int) int {
	limit := mesh.CallerConnections
	switch {
	case limit == 0 && mesh.MemoryMB == 0:
		limit = defaultConnections
	case limit == 0:
		limit = connectionsPerMB * mesh.MemoryMB
	}
	return max(1, min(limit, descriptors/2))
}
