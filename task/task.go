// Package task runs goroutines whose completion their owner can observe.
package task

import (
	"context"
	"sync"
)

// Start calls run in a new goroutine and returns a channel that receives its
// result once.
func Start(ctx context.Context, run func(context.Context) error) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	return ended
}

// Group tracks any number of goroutines. The zero value is ready to use. The
// owner calls Ended after the last Start.
type Group struct {
	running sync.WaitGroup
}

// Start calls run in a new goroutine of the group. The result of run is passed
// to report, which may be nil.
func (group *Group) Start(ctx context.Context, run func(context.Context) error, report func(error)) {
	group.running.Add(1)
	go func() {
		defer group.running.Done()
		err := run(ctx)
		if report != nil {
			report(err)
		}
	}()
}

// Ended returns a channel that is closed when all goroutines have returned.
func (group *Group) Ended() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		group.running.Wait()
		close(ended)
	}()
	return ended
}
