package http1

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"balsamproxy"
)

// limitedReader reads from a connection. While enabled, it limits the number of
// bytes, which bounds the size of a header.
type limitedReader struct {
	reader    io.Reader
	remaining int
	enabled   bool
}

var errHeaderTooLong = errors.New("http1: header too long")

func (limited *limitedReader) limit(bytes int) {
	limited.remaining = bytes
	limited.enabled = true
}

func (limited *limitedReader) removeLimit() { limited.enabled = false }

// Read fails with errHeaderTooLong once the limit is exhausted.
func (limited *limitedReader) Read(buffer []byte) (int, error) {
	if !limited.enabled {
		return limited.reader.Read(buffer)
	}
	if limited.remaining <= 0 {
		return 0, errHeaderTooLong
	}
	count, err := limited.reader.Read(buffer[:min(len(buffer), limited.remaining)])
	limited.remaining -= count
	return count, err
}

// receive reads one request with its body. For a refused request it returns a
// pending without request that already has its response.
func (connection *connection) receive() *pending {
	limits := connection.server.Handler.Limits().withDefaults()
	next := &pending{response: make(chan Response, 1), done: make(chan struct{})}
	head, refusal := connection.receiveHead(limits)
	var body []byte
	if refusal == nil {
		body, refusal = connection.receiveBody(head, limits)
	}
	if refusal != nil {
		next.closeAfter = true
		next.response <- connection.server.Handler.HandleMalformed(refusal)
		return next
	}
	next.closeAfter = head.Close
	next.request = &Request{Head: head, Body: body, ReadAt: time.Now()}
	return next
}

func (connection *connection) receiveHead(limits Limits) (*http.Request, *balsamproxy.Refusal) {
	connection.limited.limit(limits.HeaderBytes - connection.reader.Buffered())
	_ = connection.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	head, err := http.ReadRequest(connection.reader)
	connection.limited.removeLimit()
	switch {
	case errors.Is(err, errHeaderTooLong):
		return nil, balsamproxy.NotRun(balsamproxy.ReasonHeaderTooLarge, "the header is longer than allowed")
	case err != nil:
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, err.Error())
	case head.ContentLength > int64(limits.BodyBytes):
		return nil, balsamproxy.NotRun(balsamproxy.ReasonTooLarge, "the body is longer than allowed")
	case !validFieldNames(head.Header):
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "a header field has a name that is none")
	}
	return head, nil
}

// validFieldNames reports whether all field names are tokens. Other programs
// might parse a name that contains a space as a different field.
func validFieldNames(header http.Header) bool {
	for name := range header {
		for _, character := range []byte(name) {
			if character <= ' ' || character >= 0x7f || strings.IndexByte(separators, character) >= 0 {
				return false
			}
		}
	}
	return true
}

// separators are the characters that RFC 2616 excludes from tokens, besides
// control characters and white space.
const separators = "()<>@,;:\\\"/[]?={}"

// receiveBody reads and buffers the body.
func (connection *connection) receiveBody(head *http.Request, limits Limits) ([]byte, *balsamproxy.Refusal) {
	if head.Body == http.NoBody || head.ContentLength == 0 {
		return nil, nil
	}
	if head.Header.Get("Expect") != "" {
		connection.sendContinue()
	}
	_ = connection.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	server := connection.server
	expected := max(head.ContentLength, bufferBytes)
	defer server.bufferedBodies.Add(-expected)
	if server.bufferedBodies.Add(expected) > bufferedBodiesMax {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "too many bytes of bodies are held")
	}
	var body bytes.Buffer
	count, err := io.Copy(&body, io.LimitReader(head.Body, int64(limits.BodyBytes)+1))
	switch {
	case count > int64(limits.BodyBytes):
		return nil, balsamproxy.NotRun(balsamproxy.ReasonTooLarge, "the body is longer than allowed")
	case err != nil || (head.ContentLength > 0 && count != head.ContentLength):
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "the body ended early")
	}
	return body.Bytes(), nil
}

// sendContinue sends 100 Continue. It must not interleave with a response, so it
// does nothing while other requests of the connection are in flight.
func (connection *connection) sendContinue() {
	if connection.inFlight.Load() > 1 {
		return
	}
	_, _ = connection.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
}
