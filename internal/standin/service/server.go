// Package service is a fake target for tests and the demo. It records all
// requests that it receives and calls other services through the daemon of its
// host.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"balsamproxy"
)

const (
	announcePath     = "/balsamproxy/v1/targets"
	announceInterval = 4 * time.Second
)

// Options configure a server.
type Options struct {
	Target balsamproxy.Target
	// Daemon is the target address of the daemon of the host.
	Daemon string
	// Calls are the services to call for each request, one after another.
	Calls []balsamproxy.ServiceID
	// Delay is the processing time of each request.
	Delay time.Duration
}

// RecordedRequest is one request that a server has received.
type RecordedRequest struct {
	Method string      `json:"method"`
	URL    string      `json:"url"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
	// Incomplete means that the body could not be read completely.
	Incomplete bool `json:"broken"`
}

// Server is a fake target.
type Server struct {
	options Options
	client  *http.Client

	mutex    sync.Mutex
	crash    func()
	requests []RecordedRequest
	hook     http.HandlerFunc
	state    balsamproxy.TargetState
}

// New returns a server that is not yet running.
func New(options Options) *Server {
	proxy := &url.URL{Scheme: "http", Host: options.Daemon}
	transport := &http.Transport{Proxy: http.ProxyURL(proxy), MaxIdleConnsPerHost: 64}
	return &Server{
		options: options,
		client:  &http.Client{Transport: transport},
		state:   options.Target.State,
	}
}

// Hook sets a handler that responds to requests after they are recorded; nil
// restores the default response.
func (server *Server) Hook(hook http.HandlerFunc) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.hook = hook
}

// Requests returns all requests recorded so far, in order of arrival.
func (server *Server) Requests() []RecordedRequest {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]RecordedRequest(nil), server.requests...)
}

// Crash closes the server and all its connections immediately.
func (server *Server) Crash() {
	server.mutex.Lock()
	crash := server.crash
	server.mutex.Unlock()
	crash()
}

// Run serves requests and announces the target until ctx is done.
func (server *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", server.options.Target.Address)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	announceContext, stop := context.WithCancel(ctx)
	server.mutex.Lock()
	server.crash = func() {
		stop()
		_ = httpServer.Close()
	}
	server.mutex.Unlock()
	go server.announcePeriodically(announceContext)
	context.AfterFunc(ctx, func() { _ = httpServer.Close() })
	err = httpServer.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (server *Server) announcePeriodically(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	_ = server.Announce(ctx, server.currentState())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = server.Announce(ctx, server.currentState())
		}
	}
}

func (server *Server) currentState() balsamproxy.TargetState {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.state
}

// Announce sets the state of the target and announces it to the daemon of the
// host, retrying until the daemon responds or ctx is done.
func (server *Server) Announce(ctx context.Context, state balsamproxy.TargetState) error {
	server.mutex.Lock()
	server.state = state
	server.mutex.Unlock()
	target := server.options.Target
	target.State = state
	data, err := json.Marshal(target)
	if err != nil {
		return err
	}
	address := "http://" + server.options.Daemon + announcePath
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(data))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			defer func() { _ = response.Body.Close() }()
			return statusError(response)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func statusError(response *http.Response) error {
	if response.StatusCode == http.StatusNoContent {
		return nil
	}
	text, _ := io.ReadAll(response.Body)
	return fmt.Errorf("announcement rejected: HTTP status %s: %s", response.Status, text)
}

// ServeHTTP records one request and responds to it. It serves the recorded
// requests at /standin/ledger.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/standin/ledger" {
		_ = json.NewEncoder(writer).Encode(server.Requests())
		return
	}
	body, err := io.ReadAll(request.Body)
	recorded := RecordedRequest{Method: request.Method, URL: request.URL.String(), Header: request.Header.Clone(), Body: string(body), Incomplete: err != nil}
	server.mutex.Lock()
	server.requests = append(server.requests, recorded)
	hook := server.hook
	server.mutex.Unlock()
	if hook != nil {
		request.Body = io.NopCloser(bytes.NewReader(body))
		hook(writer, request)
		return
	}
	server.respond(writer, request)
}

// Reply is the JSON response of a target.
type Reply struct {
	Service balsamproxy.ServiceID `json:"service"`
	Target  balsamproxy.TargetID  `json:"target"`
	Path    string                `json:"path"`
	Calls   []Reply               `json:"calls,omitempty"`
}

func (server *Server) respond(writer http.ResponseWriter, request *http.Request) {
	if server.options.Delay > 0 {
		select {
		case <-time.After(server.options.Delay):
		case <-request.Context().Done():
		}
	}
	reply := Reply{Service: server.options.Target.Service, Target: server.options.Target.ID, Path: request.URL.Path}
	for _, service := range server.options.Calls {
		nested, status, err := server.Call(request, service)
		if err != nil || status != http.StatusOK {
			http.Error(writer, fmt.Sprintf("call to %s failed: HTTP status %d, error %v", service, status, err), http.StatusBadGateway)
			return
		}
		reply.Calls = append(reply.Calls, nested)
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(reply)
}

// Call calls another service on behalf of a request.
func (server *Server) Call(request *http.Request, service balsamproxy.ServiceID) (Reply, int, error) {
	var reply Reply
	address := "http://" + string(service) + request.URL.Path
	call, err := http.NewRequestWithContext(request.Context(), request.Method, address, nil)
	if err != nil {
		return reply, 0, err
	}
	call.Header["Traceparent"] = request.Header["Traceparent"]
	call.Header["Tracestate"] = request.Header["Tracestate"]
	response, err := server.client.Do(call)
	if err != nil {
		return reply, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return reply, response.StatusCode, err
	}
	return reply, response.StatusCode, json.Unmarshal(data, &reply)
}
