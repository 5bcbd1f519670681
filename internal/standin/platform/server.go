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

// Faults configure the faults that the server injects.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// DelayMS is added to every call, in milliseconds.
	DelayMS int `json:"delay-ms"`
	// DropResponses is the number of transactions to come that take effect but
	// get no response.
	DropResponses int `json:"lose-answers"`
	// RefusedUserAgent makes the calls of the client with this user agent fail
	// with status 503.
	RefusedUserAgent string `json:"cut"`
}

// Server is an in-memory fake of the store. It implements http.Handler.
type Server struct {
	state        *state
	mutex        sync.Mutex
	faults       Faults
	watchesEnded chan struct{}
	mux          *http.ServeMux
	calls        map[string]int
}

// NewServer returns a server with an empty store and without faults.
func NewServer() *Server {
	server := &Server{state: newState(), watchesEnded: make(chan struct{}), mux: http.NewServeMux(), calls: map[string]int{}}
	server.mux.HandleFunc("POST /v3/kv/range", server.serveRange)
	server.mux.HandleFunc("POST /v3/kv/txn", server.serveTxn)
	server.mux.HandleFunc("POST /v3/lease/grant", server.serveGrant)
	server.mux.HandleFunc("POST /v3/lease/keepalive", server.serveKeepAlive)
	server.mux.HandleFunc("POST /v3/lease/revoke", server.serveRevoke)
	server.mux.HandleFunc("POST /v3/watch", server.serveWatch)
	return server
}

// SetFaults replaces the injected faults and ends all open watches.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
	close(server.watchesEnded)
	server.watchesEnded = make(chan struct{})
}

// Calls returns the number of calls by path.
func (server *Server) Calls() map[string]int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	calls := map[string]int{}
	for path, count := range server.calls {
		calls[path] = count
	}
	return calls
}

// Expire ends the leases that have expired at the given time.
func (server *Server) Expire(now time.Time) { server.state.expire(now) }

// RunLeases ends expired leases until ctx is done.
func (server *Server) RunLeases(ctx context.Context) error {
	return task.Every(ctx, 100*time.Millisecond, func(_ context.Context, now time.Time) {
		server.state.expire(now)
	})
}

// ServeHTTP serves one call of the etcd v3 JSON protocol.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if server.shouldFail(request) {
		http.Error(writer, `{"message":"stand-in is down"}`, http.StatusServiceUnavailable)
		return
	}
	server.mux.ServeHTTP(writer, request)
}

func (server *Server) shouldFail(request *http.Request) bool {
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

// shouldDropResponse reports whether to drop the response to the current
// transaction, and counts it.
func (server *Server) shouldDropResponse() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.faults.DropResponses == 0 {
		return false
	}
	server.faults.DropResponses--
	return true
}

func decode[T any](request *http.Request) T {
	var message T
	_ = json.NewDecoder(request.Body).Decode(&message)
	return message
}

func respond(writer http.ResponseWriter, message any) {
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
	message := decode[rangeRequest](request)
	entries, revision := server.state.rangeOf(string(message.Key), string(message.RangeEnd))
	if message.KeysOnly {
		for index := range entries {
			entries[index].Value = nil
		}
	}
	respond(writer, rangeResponse{Header: header{revision}, Entries: entries})
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
	message := decode[txnRequest](request)
	put := message.Success[0].Put
	expected := message.Compare[0].ModRevision
	succeeded, current, revision, leaseKnown := server.state.swap(string(put.Key), string(put.Value), expected, put.Lease)
	if !leaseKnown {
		writer.WriteHeader(http.StatusNotFound)
		respond(writer, map[string]string{"message": "etcdserver: requested lease not found"})
		return
	}
	if server.shouldDropResponse() {
		panic(http.ErrAbortHandler)
	}
	response := txnResponse{Header: header{revision}, Succeeded: succeeded}
	if !succeeded {
		response.Responses = []operationResponse{{Range: &rangeResponse{Entries: current}}}
	}
	respond(writer, response)
}

type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

func (server *Server) serveGrant(writer http.ResponseWriter, request *http.Request) {
	seconds := decode[leaseMessage](request).TTL
	respond(writer, leaseMessage{ID: server.state.grant(seconds, time.Now()), TTL: seconds})
}

func (server *Server) serveKeepAlive(writer http.ResponseWriter, request *http.Request) {
	id := decode[leaseMessage](request).ID
	seconds := server.state.keepAlive(id, time.Now())
	respond(writer, map[string]leaseMessage{"result": {ID: id, TTL: seconds}})
}

func (server *Server) serveRevoke(writer http.ResponseWriter, request *http.Request) {
	server.state.revoke(decode[leaseMessage](request).ID)
	respond(writer, struct{}{})
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
	create := decode[watchRequest](request).Create
	server.mutex.Lock()
	watchesEnded := server.watchesEnded
	server.mutex.Unlock()
	next := create.StartRevision
	response := watchResponse{}
	response.Result.Created = true
	for {
		respond(writer, response)
		_ = http.NewResponseController(writer).Flush()
		var changed <-chan struct{}
		for {
			response = watchResponse{}
			response.Result.Events, next, changed = server.state.eventsSince(string(create.Key), string(create.RangeEnd), next)
			if len(response.Result.Events) > 0 {
				break
			}
			select {
			case <-changed:
			case <-watchesEnded:
				return
			case <-request.Context().Done():
				return
			}
		}
	}
}

// Serve runs a server on an address until ctx is done. POST /faults replaces its
// faults.
func Serve(ctx context.Context, address string) error {
	server := NewServer()
	mux := http.NewServeMux()
	mux.Handle("/v3/", server)
	mux.HandleFunc("POST /faults", func(_ http.ResponseWriter, request *http.Request) {
		server.SetFaults(decode[Faults](request))
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
