package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"balsamproxy/platform/platformtest"
)

// storeAccess is the address at which one daemon reaches the platform's store.
type storeAccess struct {
	store    *platformtest.Store
	listener net.Listener
	server   *http.Server
	// silent is set while calls of this daemon get no response and have no effect.
	silent atomic.Bool
	// refused is set while calls of this daemon get 503 and have no effect.
	refused atomic.Bool
	// renewals is the path of lease renewals, and renewed receives a value for each.
	renewals string
	renewed  chan struct{}
	// onCall is called for each call; it may be nil.
	onCall atomic.Pointer[func(request *http.Request)]
}

func newStoreAccess(store *platformtest.Store, renewals string) (*storeAccess, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	access := &storeAccess{store: store, listener: listener, renewals: renewals, renewed: make(chan struct{}, 1)}
	access.server = &http.Server{Handler: access, ReadHeaderTimeout: time.Minute}
	go func() { _ = access.server.Serve(listener) }()
	return access, nil
}

// awaitRenewal waits for the next renewal of a lease by this daemon.
func (access *storeAccess) awaitRenewal() {
	select {
	case <-access.renewed:
	default:
	}
	<-access.renewed
}

func (access *storeAccess) address() string { return access.listener.Addr().String() }

// ServeHTTP passes a call on to the store, unless this daemon is cut off.
func (access *storeAccess) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if access.silent.Load() {
		select {
		case <-request.Context().Done():
		case <-time.After(time.Minute):
		}
		panic(http.ErrAbortHandler)
	}
	if access.refused.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasPrefix(request.URL.Path, access.renewals) {
		select {
		case access.renewed <- struct{}{}:
		default:
		}
	}
	if onCall := access.onCall.Load(); onCall != nil {
		(*onCall)(request)
	}
	access.store.ServeHTTP(writer, request)
}

// storedItem is one item of the store.
type storedItem struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// storedItems returns all items with a prefix.
func storedItems(store *platformtest.Store, listCall, prefix string) ([]storedItem, error) {
	items, after := []storedItem{}, ""
	for {
		request, err := http.NewRequest(http.MethodGet, "http://store"+listCall+prefix+"&after="+after, http.NoBody)
		if err != nil {
			return nil, err
		}
		response := &responseBuffer{header: http.Header{}}
		store.ServeHTTP(response, request)
		var page struct {
			Items   []storedItem `json:"items"`
			HasMore bool         `json:"hasMore"`
		}
		if err := json.Unmarshal(response.body, &page); err != nil {
			return nil, err
		}
		items = append(items, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			return items, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// responseBuffer is an http.ResponseWriter that keeps the body.
type responseBuffer struct {
	header http.Header
	body   []byte
}

// Header returns the header.
func (buffer *responseBuffer) Header() http.Header { return buffer.header }

// Write keeps the bytes.
func (buffer *responseBuffer) Write(data []byte) (int, error) {
	buffer.body = append(buffer.body, data...)
	return len(data), nil
}

// WriteHeader ignores the status.
func (buffer *responseBuffer) WriteHeader(int) {}
