package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the interval that the users' settings give.
const heartbeatInterval = 1500 * time.Millisecond

// target is a server of an application that behaves as the users' pages say.
type target struct {
	fleet   *fleet
	daemon  *daemon
	id      string
	service string
	slots   int
	born    int64
	// work is the time that a request takes, in nanoseconds.
	work     atomic.Int64
	draining atomic.Bool
	sequence atomic.Int64
	free     chan struct{}
	server   *http.Server
	address  string
	stop     context.CancelFunc
	once     sync.Once
	// onRun is called when the target begins to work on a request.
	onRun func(run run)
}

// run is the start of the work on one request.
type run struct {
	request string
	account string
	target  string
	at      time.Time
}

// startTarget starts a target of the service of a machine on a free port.
func (fleet *fleet) startTarget(daemon *daemon, id string, slots int, work time.Duration) (*target, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	created := &target{
		fleet: fleet, daemon: daemon, id: id, service: daemon.settings.Service, slots: slots, born: time.Now().UnixMilli(),
		free: make(chan struct{}, slots), address: listener.Addr().String(), stop: stop,
	}
	created.work.Store(int64(work))
	created.server = &http.Server{Handler: created, ReadHeaderTimeout: time.Minute}
	fleet.targets = append(fleet.targets, created)
	go func() { _ = created.server.Serve(listener) }()
	go created.heartbeats(ctx)
	return created, nil
}

func (target *target) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		target.announce()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// announce sends one heartbeat and reports whether it was acknowledged.
func (target *target) announce() bool {
	state := "ready"
	if target.draining.Load() {
		state = "draining"
	}
	return target.tell(target.fleet.words.AnnounceCall, map[string]any{
		"service": target.service, "address": target.address, "zone": target.daemon.settings.Zone, "version": "v1",
		"slots": target.slots, "state": state, "warmupLeft": "0ms", "sequence": target.sequence.Add(1), "born": target.born,
	})
}

// withdraw says that the target leaves for good.
func (target *target) withdraw() bool {
	return target.tell(target.fleet.words.WithdrawCall, map[string]any{"born": target.born})
}

func (target *target) tell(call string, message map[string]any) bool {
	body, err := json.Marshal(message)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + target.daemon.settings.TargetAddress + call + target.id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ServeHTTP runs one request when a slot is free.
func (target *target) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	words := target.fleet.words
	id := request.Header.Get(words.RequestID)
	writer.Header().Set(words.RequestID, id)
	if expected := request.Header.Get(words.ExpectedTarget); expected != "" && expected != target.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	target.fleet.record.add("request %s reaches target %s", id, target.id)
	target.free <- struct{}{}
	defer func() { <-target.free }()
	if target.onRun != nil {
		target.onRun(run{request: id, account: request.Header.Get(words.Account), target: target.id, at: arrived})
	}
	_, _ = io.Copy(io.Discard, request.Body)
	timer := time.NewTimer(time.Duration(target.work.Load()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
		target.fleet.record.add("request %s is dropped at target %s: its connection closed", id, target.id)
		return
	}
	writer.Header().Set(words.Stamp, "stamp-"+target.id)
	_, _ = fmt.Fprintf(writer, "done %s", id)
	target.fleet.record.add("request %s is done at target %s", id, target.id)
}

// exit ends the target: it closes its port and all connections.
func (target *target) exit() {
	target.once.Do(func() {
		target.stop()
		_ = target.server.Close()
		target.fleet.record.add("target %s exits", target.id)
	})
}
