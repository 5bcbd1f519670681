package peer

import (
	"bytes"
	"context"
	"sync"

	"balsamproxy"
)

// refuseAll is a forwarder that refuses each call once its context is done.
type refuseAll struct{}

func (refuseAll) Forward(ctx context.Context, _ balsamproxy.Call) (*balsamproxy.Response, error) {
	<-ctx.Done()
	return nil, balsamproxy.NotRun(balsamproxy.ReasonCancelled, "")
}

// newDetachedLink returns a link that has no connection.
func newDetachedLink() *link {
	return &link{
		codec:   newCodec(),
		buffers: sync.Pool{New: func() any { return &bytes.Buffer{} }},
		outbox:  outbox{wake: make(chan struct{}, 1)},
		streams: map[streamID]*stream{},
		done:    make(chan struct{}),
	}
}
