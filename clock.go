package balsamproxy

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time. Decisions take instants as arguments; only the
// packages that speak to the outside ask a clock.
type Clock interface {
	// Now returns the current instant with its monotonic reading.
	Now() time.Time
}

// BootTime is a time since the host started. Unlike the monotonic reading of
// a time.Time it goes on while the host is suspended.
type BootTime time.Duration

// Sub returns the time between two instants.
func (instant BootTime) Sub(earlier BootTime) time.Duration {
	return time.Duration(instant - earlier)
}

// Time returns the instant as decisions take it. It can be compared with other
// instants of the same clock only.
func (instant BootTime) Time() time.Time { return time.Unix(0, int64(instant)) }

// BootClock tells the time since the host started.
type BootClock interface {
	// Boot returns the current instant.
	Boot() BootTime
}

// SystemClock is the clock of the machine. Its zero value works.
type SystemClock struct{}

// Now returns the current instant.
func (SystemClock) Now() time.Time { return time.Now() }

// Boot returns the time since the host started.
func (SystemClock) Boot() BootTime {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39; without it no belief can be
		// dated, so nothing may be served.
		panic(err)
	}
	return BootTime(now.Nano())
}
