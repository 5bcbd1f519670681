package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// caller sends requests to one daemon, each on the connection of the one before
// as long as that is open.
type caller struct {
	fleet  *fleet
	daemon *daemon
	conn   net.Conn
	reader *bufio.Reader
	// used is set once a request was answered on the connection.
	used bool
}

// call is one attempt of a client.
type call struct {
	id       string
	method   string
	path     string
	key      string
	deadline time.Duration
	body     io.Reader
	length   int64
}

// answer is what a client got. Its status is zero if the connection ended without a
// complete answer.
type answer struct {
	status  int
	stamped bool
	err     error
	sentAt  time.Time
	took    time.Duration
}

var lastRequest atomic.Int64

// newRequestID returns the id of a new client attempt.
func newRequestID() string { return fmt.Sprintf("a%06d", lastRequest.Add(1)) }

func (fleet *fleet) newCaller(daemon *daemon) *caller {
	return &caller{fleet: fleet, daemon: daemon}
}

func (caller *caller) close() {
	if caller.conn != nil {
		_ = caller.conn.Close()
	}
	caller.conn = nil
}

func (caller *caller) connect() error {
	if caller.conn != nil {
		return nil
	}
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", caller.daemon.settings.CallerAddress)
	if err != nil {
		return err
	}
	caller.conn, caller.reader, caller.used = conn, bufio.NewReader(conn), false
	return nil
}

// send sends a request and waits for its answer until its deadline and a second.
func (caller *caller) send(call call) answer {
	caller.fleet.record.add("request %s is sent to %s", call.id, caller.daemon.settings.Host)
	result := answer{sentAt: time.Now()}
	result.status, result.stamped, result.err = caller.exchange(call)
	result.took = time.Since(result.sentAt)
	if result.err != nil {
		caller.close()
		caller.fleet.record.add("request %s gets no complete answer after %d ms: %v", call.id, result.took.Milliseconds(), result.err)
		return result
	}
	caller.fleet.record.add("request %s gets %d after %d ms", call.id, result.status, result.took.Milliseconds())
	return result
}

func (caller *caller) request(call call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(context.Background(), call.method, "http://"+caller.daemon.settings.CallerAddress+call.path, call.body)
	if err != nil {
		return nil, err
	}
	request.Host = callerHost
	if call.body != nil {
		request.ContentLength = call.length
	}
	request.Header.Set(caller.fleet.words.RequestID, call.id)
	request.Header.Set(caller.fleet.words.Deadline, fmt.Sprint(call.deadline.Milliseconds()))
	if call.key != "" {
		request.Header.Set(caller.fleet.words.Key, call.key)
	}
	return request, nil
}

func (caller *caller) exchange(call call) (int, bool, error) {
	if err := caller.connect(); err != nil {
		return 0, false, err
	}
	request, err := caller.request(call)
	if err != nil {
		return 0, false, err
	}
	_ = caller.conn.SetDeadline(time.Now().Add(call.deadline + time.Second))
	if err := request.Write(caller.conn); err != nil {
		return 0, false, err
	}
	return caller.receive(request)
}

// receive reads one answer, and closes the connection if the answer says so.
func (caller *caller) receive(request *http.Request) (int, bool, error) {
	response, err := http.ReadResponse(caller.reader, request)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		return 0, false, err
	}
	caller.used = true
	if response.Close {
		caller.close()
	}
	return response.StatusCode, response.Header.Get(caller.fleet.words.Stamp) != "", nil
}
