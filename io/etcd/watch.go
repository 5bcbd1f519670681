package etcd

import (
	"context"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"balsamproxy"
)

const eventDelete = "DELETE"

// Watch sends the changes after a revision of keys with a prefix. It returns when
// ctx is done or the watch fails.
func (client *Client) Watch(
	ctx context.Context,
	prefix balsamproxy.StoreKey,
	after balsamproxy.Revision,
	events chan<- balsamproxy.StoreEvent,
) error {
	client.count("/v3/watch")
	request := watchRequest{Create: watchCreate{
		Key:           []byte(prefix),
		RangeEnd:      prefixEnd(prefix),
		StartRevision: after + 1,
	}}
	body, next, err := client.post(ctx, "/v3/watch", request)
	if err != nil {
		return readError(err)
	}
	defer closeBody(body)
	// The decoder keeps one message whole, and the stream has no end.
	limited := &io.LimitedReader{R: body}
	decoder := json.NewDecoder(limited)
	for {
		var response watchResponse
		limited.N = responseMax
		if err := decoder.Decode(&response); err != nil {
			next()
			return eris.Wrap(balsamproxy.ErrStoreUnavailable, err.Error())
		}
		if err := forward(ctx, response.Result, events); err != nil {
			return err
		}
	}
}

func forward(ctx context.Context, result watchResult, events chan<- balsamproxy.StoreEvent) error {
	if result.CompactRevision > 0 {
		return eris.Wrap(balsamproxy.ErrStoreCompacted, result.CompactRevision.String())
	}
	if result.Canceled {
		return eris.Wrap(balsamproxy.ErrStoreUnavailable, "watch cancelled")
	}
	for _, event := range result.Events {
		changed := balsamproxy.StoreEvent{
			Entry:   newEntry(event.Entry),
			Deleted: event.Type == eventDelete,
		}
		select {
		case events <- changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
