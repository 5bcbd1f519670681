package goruntime

import (
	"math"
	"runtime/debug"
	"syscall"
)

const (
	// memoryLimitNumerator and memoryLimitDenominator give the fraction of the memory of
	// a process that is used as the soft memory limit of the Go runtime, above which it
	// collects garbage more often.
	memoryLimitNumerator   = 7
	memoryLimitDenominator = 10
	// gcPercent makes the Go runtime collect garbage earlier than usual. The memory of a
	// daemon is mostly idle links, which cost little to mark.
	gcPercent = 25
)

// LimitMemory makes the Go runtime keep below a number of megabytes; zero does nothing.
func LimitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) << 20 * memoryLimitNumerator / memoryLimitDenominator)
		debug.SetGCPercent(gcPercent)
	}
}

// DescriptorLimit returns the maximum number of descriptors of this process.
func DescriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
