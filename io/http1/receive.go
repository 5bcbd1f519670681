package http1

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"balsamproxy"
	"balsamproxy/core/memory"
	"balsamproxy/io/decoding"
)

// limitedReader reads from a connection. While enabled, it limits the number of
// bytes, which bounds the size of a header.
type limitedReader struct {
	reader    io.Reader
	remaining int
	enabled   bool
	// lag is how far the caller lags. The bytes of a body are credited to it when they
	// have been decoded, since many bytes may encode few.
	lag *memory.Lag
	// charge takes memory for a header, of which uncharged bytes can come before more is
	// needed.
	charge    func(bytes int64) bool
	uncharged int
	// turn bounds how many bodies are decoded at the same time.
	turn decoding.Turn
}

var (
	errHeaderTooLong  = errors.New("http1: header too long")
	errNoHeaderMemory = errors.New("http1: no memory for the header")
)

func (limited *limitedReader) limit(bytes int) {
	limited.remaining = bytes
	limited.enabled = true
	limited.uncharged = bufferBytes
}

func (limited *limitedReader) removeLimit() { limited.enabled = false }

// Read fails with errHeaderTooLong once the limit is exhausted, and with errNoHeaderMemory if
// there is no memory for more.
func (limited *limitedReader) Read(buffer []byte) (int, error) {
	if !limited.enabled {
		return limited.read(buffer)
	}
	if limited.remaining <= 0 {
		return 0, errHeaderTooLong
	}
	if limited.uncharged <= 0 {
		if !limited.charge(headFactor * bufferBytes) {
			return 0, errNoHeaderMemory
		}
		limited.uncharged += bufferBytes
	}
	count, err := limited.read(buffer[:min(len(buffer), limited.remaining)])
	limited.remaining -= count
	limited.uncharged -= count
	return count, err
}

func (limited *limitedReader) read(buffer []byte) (int, error) {
	limited.turn.End()
	limited.lag.Begin(time.Now())
	count, err := limited.reader.Read(buffer)
	limited.lag.End(time.Now(), 0)
	if err == nil {
		limited.turn.Begin(count)
	}
	return count, err
}

// receive reads one request with its body. For a refused request it returns a
// pending without request that already has its response. The last request is the one in
// front, or nil.
func (connection *connection) receive(last *pending) *pending {
	limits := connection.server.Handler.Limits().withDefaults()
	next := &pending{response: make(chan Response, 1), next: make(chan *pending, 1), done: make(chan struct{})}
	next.position = &Position{connection: connection, own: next, ahead: last, passed: make(chan struct{})}
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
		connection.refuse(next, refusal)
		return next
	}
	next.closeAfter = head.Close
	next.request = &Request{Head: head, Body: body, ReadAt: time.Now(), Position: next.position}
	return next
}

// refuse answers a request that is not handled. The connection closes afterwards.
func (connection *connection) refuse(next *pending, refusal *balsamproxy.Refusal) {
	next.request = nil
	next.closeAfter = true
	next.position.pass()
	next.response <- connection.server.Handler.HandleMalformed(refusal)
}

func (connection *connection) receiveHead(limits Limits) (*http.Request, *balsamproxy.Refusal) {
	connection.limited.limit(limits.HeaderBytes - connection.reader.Buffered())
	_ = connection.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	head, err := http.ReadRequest(connection.reader)
	connection.limited.removeLimit()
	connection.overhead.ReleaseHead()
	switch {
	case errors.Is(err, errNoHeaderMemory):
		return nil, connection.refuseBody()
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
	if connection.server.reclaimBodies(func() bool { return body.Charge(int64(headFactor * length)) }) {
		return nil
	}
	return connection.refuseBody()
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
