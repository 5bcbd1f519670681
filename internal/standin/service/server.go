// Package service is a stand-in for a target in tests and in the demo. It
// keeps a ledger of all that it was given, and calls further services through
// the daemon of its host.
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

// Options describe one stand-in.
type Options struct {
	Target balsamproxy.Target
	// Daemon is the address for targets of the host's daemon.
	Daemon string
	// Calls are the services that each request calls in turn.
	Calls []balsamproxy.ServiceID
	// Delay is the time that each request takes.
	Delay time.Duration
}

// RecordedRequest is one request in the ledger.
type RecordedRequest struct {
	Method string      `json:"method"`
	URL    string      `json:"url"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
	// Incomplete says that the body did not arrive whole.
	Incomplete bool `json:"broken"`
}

// Server is a running stand-in.
type Server struct {
	options Options
	client  *http.Client

	mutex  sync.Mutex
	crash  func()
	ledger []RecordedRequest
	hook   http.HandlerFunc
	state  balsamproxy.TargetState
}

// New returns a stand-in that is not yet running.
func New(options Options) *Server {
	proxy := &url.URL{Scheme: "http", Host: options.Daemon}
	transport := &http.Transport{Proxy: http.ProxyURL(proxy), MaxIdleConnsPerHost: 64}
	return &Server{
		options: options,
		client:  &http.Client{Transport: transport},
		state:   options.Target.State,
	}
}

// Hook lets a function answer in place of the stand-in, after the ledger entry
// was made; nil ends that.
func (server *Server) Hook(hook http.HandlerFunc) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.hook = hook
}

// Requests returns all requests so far.
func (server *Server) Requests() []RecordedRequest {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]RecordedRequest(nil), server.ledger...)
}

// Crash ends the stand-in at once, with all its connections.
func (server *Server) Crash() {
	server.mutex.Lock()
	crash := server.crash
	server.mutex.Unlock()
	crash()
}

// Run serves and announces the target until ctx ends.
func (server *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", server.options.Target.Address)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	announcing, stop := context.WithCancel(ctx)
	server.mutex.Lock()
	server.crash = func() {
		stop()
		_ = httpServer.Close()
	}
	server.mutex.Unlock()
	go server.keepAnnouncing(announcing)
	context.AfterFunc(ctx, func() { _ = httpServer.Close() })
	err = httpServer.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (server *Server) keepAnnouncing(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	_ = server.Announce(ctx, server.announced())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = server.Announce(ctx, server.announced())
		}
	}
}

func (server *Server) announced() balsamproxy.TargetState {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.state
}

// Announce tells the daemon of the host about the target.
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
	return fmt.Errorf("announcement refused: %s: %s", response.Status, text)
}

// ServeHTTP answers one request.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/standin/ledger" {
		_ = json.NewEncoder(writer).Encode(server.Requests())
		return
	}
	body, err := io.ReadAll(request.Body)
	entry := RecordedRequest{Method: request.Method, URL: request.URL.String(), Header: request.Header.Clone(), Body: string(body), Incomplete: err != nil}
	server.mutex.Lock()
	server.ledger = append(server.ledger, entry)
	hook := server.hook
	server.mutex.Unlock()
	if hook != nil {
		request.Body = io.NopCloser(bytes.NewReader(body))
		hook(writer, request)
		return
	}
	server.answer(writer, request)
}

// Reply is the JSON answer of a stand-in.
type Reply struct {
	Service balsamproxy.ServiceID `json:"service"`
	Target  balsamproxy.TargetID  `json:"target"`
	Path    string                `json:"path"`
	Calls   []Reply               `json:"calls,omitempty"`
}

func (server *Server) answer(writer http.ResponseWriter, request *http.Request) {
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
			http.Error(writer, fmt.Sprintf("call to %s: status %d, %v", service, status, err), http.StatusBadGateway)
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
