package harness2

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the interval that the settings of the platform name.
const heartbeatInterval = 1500 * time.Millisecond

// Run is one request that a server ran.
type Run struct {
	ID, Method, Path string
	At               time.Time
}

// Server is a sound application server beside a daemon.
type Server struct {
	ID, Service string
	Address     string
	Slots       int
	// Work is how long a request takes. Body returns the body of the answer.
	Work time.Duration
	Body func(path string) string
	// OnRun is called when a request begins to run; it may be nil.
	OnRun func(run Run)

	record   *Record
	daemon   *Daemon
	born     int64
	http     *http.Server
	stop     context.CancelFunc
	mutex    sync.Mutex
	sequence int
	state    string
	runs     []Run
}

// StartServer starts a server beside a daemon, at its address if it has one. It sends
// heartbeats until it leaves.
func StartServer(daemon *Daemon, server *Server) error {
	if server.Address == "" {
		server.Address = "127.0.0.1:0"
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", server.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	server.record, server.daemon, server.stop = daemon.fleet.Record, daemon, cancel
	server.Address, server.born, server.state = listener.Addr().String(), time.Now().UnixMilli(), "ready"
	server.http = &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	go func() { _ = server.http.Serve(listener) }()
	go server.beat(ctx)
	return nil
}

func (server *Server) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		server.Heartbeat()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Heartbeat sends one heartbeat and returns its status, zero if there was no answer
// within a second.
func (server *Server) Heartbeat() int {
	server.mutex.Lock()
	server.sequence++
	body := map[string]any{
		"service": server.Service, "address": server.Address, "zone": "a", "version": "v1", "slots": server.Slots,
		"state": server.state, "warmupLeft": "0ms", "sequence": server.sequence, "born": server.born,
	}
	server.mutex.Unlock()
	return server.call(Words["heartbeat"], body)
}

// Deregister says that the server leaves for good and ends its heartbeats. It returns the
// status.
func (server *Server) Deregister() int {
	server.stop()
	return server.call(Words["deregister"], map[string]any{"born": server.born})
}

func (server *Server) call(path string, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+server.daemon.Targets+path+server.ID, "application/json", strings.NewReader(string(data))) //nolint:noctx // bounded by the timeout
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Exit ends the server at once, like a crash: its connections close, and its address
// refuses new ones.
func (server *Server) Exit() {
	server.stop()
	_ = server.http.Close()
}

// Runs returns the requests that the server has run.
func (server *Server) Runs() []Run {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]Run(nil), server.runs...)
}

// ServeHTTP runs one request.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(Words["request-id"])
	writer.Header().Set(Words["request-id"], id)
	if expected := request.Header.Get(Words["expected-server"]); expected != "" && expected != server.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		writer.Header().Set(Words["not-run"], "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	run := Run{ID: id, Method: request.Method, Path: request.RequestURI, At: time.Now()}
	server.mutex.Lock()
	server.runs = append(server.runs, run)
	server.mutex.Unlock()
	if server.OnRun != nil {
		server.OnRun(run)
	}
	_, _ = io.Copy(io.Discard, request.Body)
	time.Sleep(server.Work)
	writer.Header().Set(Words["stamp"], server.ID)
	body := "answer to " + id
	if server.Body != nil {
		body = server.Body(request.RequestURI)
	}
	writer.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(writer, body)
}
