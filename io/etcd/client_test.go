package etcd_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/internal/standin/platform"
	"balsamproxy/io/etcd"
)

func newClient(t *testing.T) (*etcd.Client, *platform.Server) {
	t.Helper()
	server := platform.NewServer()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.CloseClientConnections)
	t.Cleanup(listener.Close)
	return &etcd.Client{Addresses: []string{listener.URL}, HTTP: listener.Client()}, server
}

func TestSwap(t *testing.T) {
	cases := map[string]struct {
		before   []string
		expected int
		faults   platform.Faults
		err      error
		value    string
	}{
		"creates a key":                             {expected: 0, value: "new"},
		"replaces the expected revision":            {before: []string{"old"}, expected: 1, value: "new"},
		"refuses another revision":                  {before: []string{"old", "newer"}, expected: 1, err: balsamproxy.ErrStoreConflict, value: "newer"},
		"refuses a key that exists":                 {before: []string{"old"}, expected: 0, err: balsamproxy.ErrStoreConflict, value: "old"},
		"recovers from one lost response":           {expected: 0, faults: platform.Faults{DropResponses: 1}, value: "new"},
		"recovers from two lost responses":          {expected: 0, faults: platform.Faults{DropResponses: 2}, value: "new"},
		"outcome unknown if all responses are lost": {expected: 0, faults: platform.Faults{DropResponses: 3}, err: balsamproxy.ErrStoreOutcomeUnknown, value: "new"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			client, server := newClient(t)
			ctx := t.Context()
			revisions := []balsamproxy.Revision{0}
			for index, value := range test.before {
				revision, err := client.Swap(ctx, balsamproxy.StoreSwap{Key: "/k", Value: []byte(value), Expected: revisions[index]})
				assert.NilError(t, err)
				revisions = append(revisions, revision)
			}
			server.SetFaults(test.faults)
			_, err := client.Swap(ctx, balsamproxy.StoreSwap{Key: "/k", Value: []byte("new"), Expected: revisions[test.expected]})
			assert.ErrorIs(t, err, test.err)
			entry, err := client.Get(ctx, "/k")
			assert.NilError(t, err)
			assert.Equal(t, string(entry.Value), test.value)
		})
	}
}

func TestLeaseExpiry(t *testing.T) {
	client, server := newClient(t)
	ctx := t.Context()
	lease, err := client.Grant(ctx, 2*time.Second)
	assert.NilError(t, err)
	_, err = client.Swap(ctx, balsamproxy.StoreSwap{Key: "/k", Value: []byte("v"), Lease: lease})
	assert.NilError(t, err)
	assert.NilError(t, client.KeepAlive(ctx, lease))
	server.Expire(time.Now().Add(time.Minute))
	assert.ErrorIs(t, client.KeepAlive(ctx, lease), balsamproxy.ErrStoreLeaseLost)
	_, err = client.Get(ctx, "/k")
	assert.ErrorIs(t, err, balsamproxy.ErrStoreNotFound)
	_, err = client.Swap(ctx, balsamproxy.StoreSwap{Key: "/k", Value: []byte("v"), Lease: lease})
	assert.ErrorIs(t, err, balsamproxy.ErrStoreLeaseLost)
}

func TestWatch(t *testing.T) {
	client, server := newClient(t)
	ctx := t.Context()
	revision, err := client.Swap(ctx, balsamproxy.StoreSwap{Key: "/a/1", Value: []byte("one")})
	assert.NilError(t, err)
	events := make(chan balsamproxy.StoreEvent)
	ended := make(chan error, 1)
	go func() { ended <- client.Watch(ctx, "/a/", revision, events) }()
	_, err = client.Swap(ctx, balsamproxy.StoreSwap{Key: "/b/1", Value: []byte("other")})
	assert.NilError(t, err)
	_, err = client.Swap(ctx, balsamproxy.StoreSwap{Key: "/a/2", Value: []byte("two")})
	assert.NilError(t, err)
	event := <-events
	assert.Equal(t, string(event.Entry.Value), "two")
	assert.Equal(t, event.Entry.Key, balsamproxy.StoreKey("/a/2"))
	server.SetFaults(platform.Faults{Down: true})
	assert.ErrorIs(t, <-ended, balsamproxy.ErrStoreUnavailable)
}

func TestReadsWhileStoreIsDown(t *testing.T) {
	client, server := newClient(t)
	server.SetFaults(platform.Faults{Down: true})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := client.Get(ctx, "/k")
	assert.ErrorIs(t, err, balsamproxy.ErrStoreUnavailable)
	_, err = client.Range(ctx, "/k")
	assert.ErrorIs(t, err, balsamproxy.ErrStoreUnavailable)
	_, err = client.Revisions(ctx, "/k")
	assert.ErrorIs(t, err, balsamproxy.ErrStoreUnavailable)
}

// TestEndlessWatch guards against a store that sends one message without end on a watch:
// all of it would be kept.
func TestEndlessWatch(t *testing.T) {
	const memoryMax = 128 << 20
	var written atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		part := `{"result":{"events":"`
		for err := error(nil); err == nil && written.Load() < 4*memoryMax; part = strings.Repeat("x", 64<<10) {
			var count int
			count, err = io.WriteString(writer, part)
			written.Add(int64(count))
		}
	}))
	defer server.Close()
	client := &etcd.Client{Addresses: []string{server.URL}, HTTP: server.Client()}
	err := client.Watch(t.Context(), "/k", 1, nil)
	assert.ErrorIs(t, err, balsamproxy.ErrStoreUnavailable)
	assert.Assert(t, written.Load() <= memoryMax, "%d bytes were read", written.Load())
}
