package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// load is a stream of requests of one tenant at one daemon.
type load struct {
	fleet     *fleet
	daemon    *daemon
	tenant    string
	key       string
	path      string
	host      string
	interval  time.Duration
	deadline  time.Duration
	transport *http.Transport
}

// run sends requests at the interval until ctx ends.
func (load *load) run(ctx context.Context) {
	load.transport = &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	defer load.transport.CloseIdleConnections()
	client := &http.Client{Transport: load.transport}
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(load.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			running.Go(func() { load.send(ctx, client) })
		}
	}
}

func (load *load) send(ctx context.Context, client *http.Client) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), load.deadline)
	defer cancel()
	id := fmt.Sprintf("%016x", lastID.Add(1))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+load.daemon.address("caller-address")+load.path+id, http.NoBody)
	if err != nil {
		return
	}
	request.Host = load.host
	request.Header.Set(words.RequestID, id)
	request.Header.Set(words.Deadline, strconv.FormatInt(load.deadline.Milliseconds(), 10))
	request.Header.Set(words.Key, load.key)
	result := sent{id: id, tenant: load.tenant, daemon: load.daemon.name, route: load.path, at: time.Now()}
	response, err := client.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		result.status, result.stamp = response.StatusCode, response.Header.Get(words.Stamp)
	}
	result.answered = time.Now()
	load.fleet.record.answered(result)
}
