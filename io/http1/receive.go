package http1

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"balsamproxy"
	"balsamproxy/core/memory"
)

// limitedReader reads from a connection. While enabled, it limits the number of
// bytes, which bounds the size of a header.
type limitedReader struct {
	reader    io.Reader
	remaining int
	enabled   bool
	// progressAt is when it last read anything, in Unix nanoseconds.
	progressAt atomic.Int64
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
		return limited.read(buffer)
	}
	if limited.remaining <= 0 {
		return 0, errHeaderTooLong
	}
	count, err := limited.read(buffer[:min(len(buffer), limited.remaining)])
	limited.remaining -= count
	return count, err
}

func (limited *limitedReader) read(buffer []byte) (int, error) {
	count, err := limited.reader.Read(buffer)
	if count > 0 {
		limited.noteProgress()
	}
	return count, err
}

func (limited *limitedReader) noteProgress() { limited.progressAt.Store(time.Now().UnixNano()) }

// receive reads one request with its body. For a refused request it returns a
// pending without request that already has its response.
func (connection *connection) receive() *pending {
	limits := connection.server.Handler.Limits().withDefaults()
	next := &pending{response: make(chan Response, 1), done: make(chan struct{})}
	head, refusal := connection.receiveHead(limits)
	body := connection.server.budget().NewBody()
	if refusal == nil {
		refusal = connection.holdHead(body, limits)
	}
	if refusal == nil {
		refusal = connection.receiveBody(body, head, limits)
	}
	if !connection.endReceiving() {
		// The caller does not get the response.
		refusal = balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "the connection was closed in favour of another one")
	}
	if refusal != nil {
		body.Release()
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

// holdHead counts the memory of the header that was received last. A caller may have
// many requests in flight on one connection.
func (connection *connection) holdHead(body *memory.Body, limits Limits) *balsamproxy.Refusal {
	length := limits.HeaderBytes - connection.limited.remaining - connection.reader.Buffered()
	if connection.server.reclaim(func() bool { return body.Charge(int64(headFactor * length)) }) {
		return nil
	}
	return connection.server.refuseBody()
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

// sendContinue sends 100 Continue. It must not interleave with a response, so it
// does nothing while other requests of the connection are in flight.
func (connection *connection) sendContinue() {
	if connection.inFlight.Load() > 1 {
		return
	}
	_, _ = connection.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
}
