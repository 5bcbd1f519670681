package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
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

// send sends an order and, if the answer promises that it has not run, once more when the
// answer says. Clients repeat such a request after no other answer.
func (load *load) send(ctx context.Context, client *http.Client) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), load.deadline)
	defer cancel()
	end := time.Now().Add(load.deadline)
	first, wait := load.attempt(ctx, client, end)
	left := time.Until(end)
	first.served = first.status == http.StatusOK
	if promisesNotRun(first.status) && left > 0 {
		select {
		case <-time.After(min(wait, left/3)):
		case <-ctx.Done():
		}
		second, _ := load.attempt(ctx, client, end)
		second.retry = true
		first.served = second.status == http.StatusOK
		load.fleet.record.answered(second)
	}
	load.fleet.record.answered(first)
}

func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// attempt sends a request once and returns how long to wait before the next one.
func (load *load) attempt(ctx context.Context, client *http.Client, end time.Time) (sent, time.Duration) {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	result := sent{id: id, tenant: load.tenant, daemon: load.daemon.name, route: load.path, at: time.Now()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+load.daemon.address("caller-address")+load.path+id, strings.NewReader("order "+id))
	if err != nil {
		return result, 0
	}
	request.Host = load.host
	request.Header.Set(words.RequestID, id)
	request.Header.Set(words.Deadline, strconv.FormatInt(max(time.Until(end).Milliseconds(), 1), 10))
	request.Header.Set(words.Key, load.key)
	response, err := client.Do(request)
	wait := time.Duration(0)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		result.status, result.stamp = response.StatusCode, response.Header.Get(words.Stamp)
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			wait = time.Duration(seconds * float64(time.Second))
		}
	}
	result.answered = time.Now()
	return result, wait
}
