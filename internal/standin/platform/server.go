package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"balsamproxy/task"
)

// Faults are the ways in which the stand-in fails.
type Faults struct {
	// Down refuses every call and ends every watch.
	Down bool `json:"down"`
	// DelayMS is added to every call, in milliseconds.
	DelayMS int `json:"delay-ms"`
	// DropResponses is the number of swaps that take effect without an answer.
	DropResponses int `json:"lose-answers"`
	// RefusedUserAgent refuses the calls of one client, named by its user agent.
	RefusedUserAgent string `json:"cut"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	state  *state
	mutex  sync.Mutex
	faults Faults
	broken chan struct{}
	mux    *http.ServeMux
	calls  map[string]int
}

// NewServer returns an empty store without faults.
func NewServer() *Server {
	server := &Server{state: newState(), broken: make(chan struct{}), mux: http.NewServeMux(), calls: map[string]int{}}
	server.mux.HandleFunc("POST /v3/kv/range", server.serveRange)
	server.mux.HandleFunc("POST /v3/kv/txn", server.serveTxn)
	server.mux.HandleFunc("POST /v3/lease/grant", server.serveGrant)
	server.mux.HandleFunc("POST /v3/lease/keepalive", server.serveKeepAlive)
	server.mux.HandleFunc("POST /v3/lease/revoke", server.serveRevoke)
	server.mux.HandleFunc("POST /v3/watch", server.serveWatch)
	return server
}

// SetFaults changes how the stand-in fails from now on.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
	close(server.broken)
	server.broken = make(chan struct{})
}

// Calls returns how often each path was called.
func (server *Server) Calls() map[string]int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	calls := map[string]int{}
	for path, count := range server.calls {
		calls[path] = count
	}
	return calls
}

// Expire ends the leases that have lapsed at an instant.
func (server *Server) Expire(now time.Time) { server.state.expire(now) }

// RunLeases ends lapsed leases until ctx ends.
func (server *Server) RunLeases(ctx context.Context) error {
	return task.Every(ctx, 100*time.Millisecond, func(_ context.Context, now time.Time) {
		server.state.expire(now)
	})
}

// ServeHTTP answers one call of the store's protocol.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if server.fails(request) {
		http.Error(writer, `{"message":"stand-in is down"}`, http.StatusServiceUnavailable)
		return
	}
	server.mux.ServeHTTP(writer, request)
}

func (server *Server) fails(request *http.Request) bool {
	server.mutex.Lock()
	faults := server.faults
	server.calls[request.URL.Path]++
	server.mutex.Unlock()
	if faults.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMS) * time.Millisecond):
		case <-request.Context().Done():
		}
	}
	return faults.Down || (faults.RefusedUserAgent != "" && request.UserAgent() == faults.RefusedUserAgent)
}

// losesAnswer says whether the answer of this swap is to be lost.
func (server *Server) losesAnswer() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.faults.DropResponses == 0 {
		return false
	}
	server.faults.DropResponses--
	return true
}

func read[T any](request *http.Request) T {
	var message T
	_ = json.NewDecoder(request.Body).Decode(&message)
	return message
}

func answer(writer http.ResponseWriter, message any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(message)
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	KeysOnly bool   `json:"keys_only"`
}

type rangeResponse struct {
	Header  header  `json:"header"`
	Entries []entry `json:"kvs,omitempty"`
}

func (server *Server) serveRange(writer http.ResponseWriter, request *http.Request) {
	message := read[rangeRequest](request)
	entries, revision := server.state.rangeOf(string(message.Key), string(message.RangeEnd))
	if message.KeysOnly {
		for index := range entries {
			entries[index].Value = nil
		}
	}
	answer(writer, rangeResponse{Header: header{revision}, Entries: entries})
}

type txnRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		Put struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease,string"`
		} `json:"request_put"`
	} `json:"success"`
}

type operationResponse struct {
	Range *rangeResponse `json:"response_range,omitempty"`
}

type txnResponse struct {
	Header    header              `json:"header"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []operationResponse `json:"responses,omitempty"`
}

func (server *Server) serveTxn(writer http.ResponseWriter, request *http.Request) {
	message := read[txnRequest](request)
	put := message.Success[0].Put
	expected := message.Compare[0].ModRevision
	done, standing, revision, leaseKnown := server.state.swap(string(put.Key), string(put.Value), expected, put.Lease)
	if !leaseKnown {
		writer.WriteHeader(http.StatusNotFound)
		answer(writer, map[string]string{"message": "etcdserver: requested lease not found"})
		return
	}
	if server.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	response := txnResponse{Header: header{revision}, Succeeded: done}
	if !done {
		response.Responses = []operationResponse{{Range: &rangeResponse{Entries: standing}}}
	}
	answer(writer, response)
}

type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

func (server *Server) serveGrant(writer http.ResponseWriter, request *http.Request) {
	seconds := read[leaseMessage](request).TTL
	answer(writer, leaseMessage{ID: server.state.grant(seconds, time.Now()), TTL: seconds})
}

func (server *Server) serveKeepAlive(writer http.ResponseWriter, request *http.Request) {
	id := read[leaseMessage](request).ID
	seconds := server.state.keepAlive(id, time.Now())
	answer(writer, map[string]leaseMessage{"result": {ID: id, TTL: seconds}})
}

func (server *Server) serveRevoke(writer http.ResponseWriter, request *http.Request) {
	server.state.revoke(read[leaseMessage](request).ID)
	answer(writer, struct{}{})
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchResponse struct {
	Result struct {
		Created bool    `json:"created,omitempty"`
		Events  []event `json:"events,omitempty"`
	} `json:"result"`
}

func (server *Server) serveWatch(writer http.ResponseWriter, request *http.Request) {
	create := read[watchRequest](request).Create
	server.mutex.Lock()
	broken := server.broken
	server.mutex.Unlock()
	next := create.StartRevision
	response := watchResponse{}
	response.Result.Created = true
	for {
		answer(writer, response)
		_ = http.NewResponseController(writer).Flush()
		var changed <-chan struct{}
		for {
			response = watchResponse{}
			response.Result.Events, next, changed = server.state.since(string(create.Key), string(create.RangeEnd), next)
			if len(response.Result.Events) > 0 {
				break
			}
			select {
			case <-changed:
			case <-broken:
				return
			case <-request.Context().Done():
				return
			}
		}
	}
}

// Serve runs the stand-in on an address until ctx ends. POST /faults changes
// its faults.
func Serve(ctx context.Context, address string) error {
	server := NewServer()
	mux := http.NewServeMux()
	mux.Handle("/v3/", server)
	mux.HandleFunc("POST /faults", func(_ http.ResponseWriter, request *http.Request) {
		server.SetFaults(read[Faults](request))
	})
	go func() { _ = server.RunLeases(ctx) }()
	httpServer := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = httpServer.Close() })
	err := httpServer.ListenAndServe()
	if strings.Contains(err.Error(), "Server closed") {
		return nil
	}
	return err
}
