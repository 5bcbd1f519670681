package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/core/memory"
	"balsamproxy/task"
)

const (
	getRequest     = "GET %s HTTP/1.1\r\nHost: h\r\n\r\n"
	putRequest     = "PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	chunkedRequest = "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
)

// TestRequestsBehindAnother guards against a connection that is not read while a request
// waits for those in front, so that the timeouts of those behind begin late. The handler lets
// GET requests run beside others and no others.
func TestRequestsBehindAnother(t *testing.T) {
	cases := map[string]struct {
		request string
		count   int
		// begun is how many begin beside the first one.
		begun int
	}{
		"one that may run beside it":            {getRequest, 1, 1},
		"more than may run at a time":           {getRequest, 200, 15},
		"one that may not":                      {putRequest, 1, 0},
		"one in chunks that may not":            {chunkedRequest, 1, 0},
		"more than the reader and queue buffer": {putRequest, 300, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			release := map[string]chan struct{}{"/first": make(chan struct{})}
			for index := range test.begun {
				release[fmt.Sprintf("/%d", index)] = release["/first"]
			}
			server, handler, conn := start(t, release)
			sent := fmt.Sprintf(getRequest, "/first")
			for index := range test.count {
				sent += fmt.Sprintf(test.request, fmt.Sprintf("/%d", index))
			}
			_, err := io.WriteString(conn, sent)
			assert.NilError(t, err)
			for range 1 + test.begun {
				<-handler.started
			}
			for server.InFlight() < int64(1+test.count) {
				// All are read while the first one runs.
				continue
			}
			assert.Equal(t, len(handler.started), 0)
			close(release["/first"])
			reader := bufio.NewReader(conn)
			assert.Equal(t, read(t, reader).body, "GET /first ")
			for index := range test.count {
				got := read(t, reader)
				assert.Assert(t, got.status == 200, "%d: %+v", index, got)
				if test.begun == 0 {
					assert.Equal(t, <-handler.started, fmt.Sprintf("/%d", index))
				} else if len(handler.started) > 0 {
					<-handler.started
				}
			}
		})
	}
}

// TestCallerThatLeavesBehindAnOrder guards against a caller that leaves unnoticed while its
// second request waits for the first one.
func TestCallerThatLeavesBehindAnOrder(t *testing.T) {
	release := map[string]chan struct{}{"/slow": make(chan struct{})}
	server, handler, conn := start(t, release)
	_, err := io.WriteString(conn, fmt.Sprintf(getRequest, "/slow")+fmt.Sprintf(putRequest, "/order")+fmt.Sprintf(getRequest, "/last"))
	assert.NilError(t, err)
	assert.Equal(t, <-handler.started, "/slow")
	assert.NilError(t, conn.Close())
	assert.Equal(t, <-handler.disconnected, "/slow")
	for server.InFlight() > 0 {
		continue
	}
	assert.Equal(t, len(handler.started), 0)
}

// TestUploadsBehindAnother guards against uploads that wait for their turn and use up the memory
// for bodies of requests that could run.
func TestUploadsBehindAnother(t *testing.T) {
	const (
		uploads     = 64
		uploadBytes = 2 * memory.SmallBytes
		requests    = 16 * uploadBytes
	)
	release := map[string]chan struct{}{"/first": make(chan struct{})}
	server, handler := prepare(release)
	handler.bodyBytes = uploadBytes
	server.Bodies = memory.NewBudget(1<<30, requests)
	listener := listen(t)
	run(t, server, listener)
	conn := dial(t, listener)
	upload := fmt.Sprintf("PUT /order HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, strings.Repeat("x", uploadBytes))
	written := task.Start(t.Context(), func(context.Context) error {
		_, err := io.WriteString(conn, fmt.Sprintf(getRequest, "/first")+strings.Repeat(upload, uploads))
		return err
	})
	<-handler.started
	for server.InFlight() < 2 {
		// The first upload is read ahead.
		continue
	}
	for range 10_000 {
		// The buffer of a body may be longer than the body.
		assert.Assert(t, server.Bodies.Usage().Requests < 3*uploadBytes)
	}
	close(release["/first"])
	reader := bufio.NewReader(conn)
	for range 1 + uploads {
		assert.Equal(t, read(t, reader).status, 200)
	}
	assert.NilError(t, <-written)
}
