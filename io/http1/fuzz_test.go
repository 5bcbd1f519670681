package http1_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"balsamproxy/io/http1"
	"balsamproxy/task"
)

// FuzzRequests sends arbitrary bytes and checks that the server returns nothing
// but well-formed responses, up to the end of the connection.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.1\r\nHo"))
	f.Add([]byte("\r\n\r\n\x00\xff"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		handled := &handler{started: make(chan string, 1024)}
		server := &http1.Server{Handler: handled}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := task.Start(ctx, func(ctx context.Context) error { return server.Serve(ctx, listener) })
		defer func() {
			cancel()
			server.Close()
			<-ended
			<-server.Done()
		}()
		conn := dial(t, listener)
		if _, err := conn.Write(sent[:min(len(sent), 1024)]); err != nil {
			return
		}
		if half, ok := conn.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
		checkResponses(t, bufio.NewReader(conn))
	})
}

// checkResponses reads responses until the connection ends.
func checkResponses(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if errors.Is(err, io.ErrUnexpectedEOF) || (err != nil && strings.Contains(err.Error(), "reset")) {
			return
		}
		if err != nil {
			t.Fatalf("malformed response: %v", err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return
		}
	}
}
