package main

import (
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"balsamproxy/platform/platformtest"
)

// entrance is the address at which one daemon reaches the store.
type entrance struct {
	address string
	store   http.Handler
	// silent is set while calls get no answer, busy while they get 503.
	silent, busy atomic.Bool
	// latency is how long an answer takes, in nanoseconds.
	latency atomic.Int64
}

// answerTime is the usual time of an answer of the store.
const answerTime = 4 * time.Millisecond

func newEntrance(store http.Handler) (*entrance, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &entrance{address: listener.Addr().String(), store: store}
	created.latency.Store(int64(answerTime))
	server := &http.Server{Handler: created, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return created, nil
}

// ServeHTTP passes a call on to the store unless the store does not serve this daemon.
func (entrance *entrance) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(time.Duration(entrance.latency.Load()))
	switch {
	case entrance.silent.Load():
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	case entrance.busy.Load():
		writer.WriteHeader(http.StatusServiceUnavailable)
	default:
		entrance.store.ServeHTTP(writer, request)
	}
}

// expireLeases removes the keys of leases that have run out: the store in memory looks at
// them only when it is called.
func expireLeases(ctx context.Context, store *platformtest.Store) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://store/none", http.NoBody)
			if err == nil {
				store.ServeHTTP(discard{}, request)
			}
		}
	}
}

// discard is a response that nobody reads.
type discard struct{}

func (discard) Header() http.Header            { return http.Header{} }
func (discard) Write(data []byte) (int, error) { return len(data), nil }
func (discard) WriteHeader(int)                {}

func putConfig(store *platformtest.Store, document string) {
	store.Put(words.ConfigKey, base64.StdEncoding.EncodeToString([]byte(document)))
}
