package task

import (
	"context"
	"time"
)

// Every calls run at the given interval until ctx ends, and returns the error
// of ctx.
func Every(ctx context.Context, interval time.Duration, run func(ctx context.Context, now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			run(ctx, now)
		}
	}
}
