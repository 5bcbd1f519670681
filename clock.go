package balsamproxy

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Decision logic takes instants as arguments;
// only the packages that do I/O read a clock.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
}

// BootTime is the time elapsed since the host booted. Unlike the monotonic
// reading of a time.Time, it keeps advancing while the host is suspended.
type BootTime time.Duration

// Sub returns the duration from earlier to instant.
func (instant BootTime) Sub(earlier BootTime) time.Duration {
	return time.Duration(instant - earlier)
}

// Time converts the instant to the time.Time that decision logic takes. The
// result is comparable only with other instants of the same clock.
func (instant BootTime) Time() time.Time { return time.Unix(0, int64(instant)) }

// BootClock provides the time since the host booted, including suspended time.
type BootClock interface {
	// Boot returns the time since the host booted.
	Boot() BootTime
}

// SystemClock is the system clock. The zero value is ready to use.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// Boot returns the time since the host booted.
func (SystemClock) Boot() BootTime {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39. Without it the age of cached
		// state is unknown, so no request may be served.
		panic(err)
	}
	return BootTime(now.Nano())
}
