package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// heartbeatInterval is that of the platform's settings.
const heartbeatInterval = 1500 * time.Millisecond

// server is a stand-in of an application server beside a daemon.
type server struct {
	id, service string
	address     string
	zone        string
	daemon      *daemon
	record      *record
	work        atomic.Int64
	slots       int
	born        int64
	sequence    atomic.Int64
	state       atomic.Value
	silent      atomic.Bool
	http        *http.Server
}

func (fleet *fleet) addServer(ctx context.Context, daemon *daemon, id string, work time.Duration) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	created := &server{
		id: id, service: serviceName, address: listener.Addr().String(), zone: daemon.address("data-centre"),
		daemon: daemon, record: fleet.record, slots: 8, born: time.Now().UnixMilli(),
	}
	created.work.Store(int64(work))
	created.state.Store("ready")
	created.http = &http.Server{Handler: created, ReadHeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = created.http.Serve(listener) }()
	go created.runHeartbeats(ctx)
	fleet.servers = append(fleet.servers, created)
	return nil
}

func (server *server) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if !server.silent.Load() {
			server.heartbeat(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// heartbeat sends the present state and reports whether it was acknowledged.
func (server *server) heartbeat(ctx context.Context) bool {
	body, err := json.Marshal(map[string]any{
		"service": server.service, "address": server.address, "zone": server.zone, "version": "v1", "slots": server.slots,
		"state": server.state.Load(), "warmupLeft": "0ms", "sequence": server.sequence.Add(1), "born": server.born,
	})
	return err == nil && server.call(ctx, words.Heartbeat, string(body))
}

// deregister tells the daemon that the server leaves and reports whether it was
// acknowledged.
func (server *server) deregister(ctx context.Context) bool {
	server.silent.Store(true)
	return server.call(ctx, words.Deregister, "")
}

// exit ends the server with all that it works on.
func (server *server) exit() { _ = server.http.Close() }

func (server *server) call(ctx context.Context, call, body string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	address := "http://" + server.daemon.address("target-address") + call + server.id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// ServeHTTP runs one request.
func (server *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(words.RequestID)
	header := writer.Header()
	header.Set(words.RequestID, id)
	if request.URL.Path == "/healthz" {
		header.Set(words.Instance, server.id)
		return
	}
	if expected := request.Header.Get(words.Expect); expected != "" && expected != server.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set(words.NotRun, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	server.record.ran(server, id, request.Header.Get(words.Tenant), time.Now())
	select {
	case <-time.After(time.Duration(server.work.Load())):
	case <-request.Context().Done():
		return
	}
	header.Set(words.Stamp, server.id+"/"+id)
	_, _ = io.WriteString(writer, "answer to "+id+"\n")
}
