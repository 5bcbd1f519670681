package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/io/http1"
	"balsamproxy/task"
)

// statusHandler responds with a status and a body.
type statusHandler struct {
	*handler
	status int
}

func (handler statusHandler) Handle(context.Context, *http1.Request) http1.Response {
	header := http.Header{"Content-Encoding": {"gzip"}}
	return http1.Response{Status: handler.status, Header: header, ContentLength: 3, Body: io.NopCloser(strings.NewReader("odd"))}
}

// TestInvalidStatusIsNotWritten guards against a status line that callers cannot
// read or take for an interim response, whatever the handler returns.
func TestInvalidStatusIsNotWritten(t *testing.T) {
	for _, status := range []int{0, -1, 99, 100, 101, 103, 600, 1000} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			listener := listen(t)
			server := &http1.Server{Handler: statusHandler{handler: &handler{}, status: status}}
			ctx, cancel := context.WithCancel(t.Context())
			ended := task.Start(ctx, func(ctx context.Context) error { return server.Serve(ctx, listener) })
			t.Cleanup(func() {
				cancel()
				server.Close()
				<-ended
				<-server.Done()
			})
			conn := dial(t, listener)
			_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			assert.DeepEqual(t, read(t, bufio.NewReader(conn)).status, http.StatusBadGateway)
		})
	}
}
