// Package store follows shared state in the platform's store and publishes
// this daemon's own record there.
package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"balsamproxy"
	"balsamproxy/task"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// view receives the entries of a key prefix and their changes.
type view interface {
	// replace sets the state from a snapshot.
	replace(snapshot balsamproxy.StoreSnapshot)
	// apply applies one change.
	apply(event balsamproxy.StoreEvent)
}

// follow keeps a view current until ctx is done. It reads a snapshot and
// watches for changes, and starts again with a snapshot when the watch fails.
func follow(ctx context.Context, store balsamproxy.Store, prefix balsamproxy.StoreKey, view view) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		snapshot, err := store.Range(ctx, prefix)
		if err != nil {
			backoff = sleepBackoff(ctx, backoff)
			continue
		}
		backoff = minBackoff
		view.replace(snapshot)
		watch(ctx, store, prefix, snapshot.Revision, view)
		sleepBackoff(ctx, backoff)
	}
	return ctx.Err()
}

// watch applies changes until the watch fails.
func watch(ctx context.Context, store balsamproxy.Store, prefix balsamproxy.StoreKey, after balsamproxy.Revision, view view) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan balsamproxy.StoreEvent)
	ended := task.Start(ctx, func(ctx context.Context) error {
		return store.Watch(ctx, prefix, after, events)
	})
	for {
		select {
		case event := <-events:
			view.apply(event)
		case <-ended: //nolint:errcheck // follow starts again after any error
			return
		}
	}
}

// sleepBackoff sleeps for a random time between half and all of the back-off,
// and returns the next back-off.
func sleepBackoff(ctx context.Context, backoff time.Duration) time.Duration {
	wait := backoff/2 + rand.N(backoff/2)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return min(2*backoff, maxBackoff)
}

// isNotFound reports whether a read failed because the key does not exist.
func isNotFound(err error) bool {
	return errors.Is(err, balsamproxy.ErrStoreNotFound)
}
