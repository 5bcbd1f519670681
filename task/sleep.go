package task

import (
	"context"
	"time"
)

// Sleep waits for the given time. It returns false if ctx ended first.
func Sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// SleepOrWake waits for the given time or until wake delivers a value or is
// closed. It returns false if ctx ended first.
func SleepOrWake(ctx context.Context, pause time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}
