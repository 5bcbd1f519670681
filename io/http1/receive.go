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

// source counts the bytes of a header against a limit.
type source struct {
	reader io.Reader
	left   int
	active bool
}

var errHeaderTooLong = errors.New("http1: header too long")

func (source *source) limit(bytes int) {
	source.left = bytes
	source.active = true
}

func (source *source) unlimited() { source.active = false }

// Read reads from the connection.
func (source *source) Read(buffer []byte) (int, error) {
	if !source.active {
		return source.reader.Read(buffer)
	}
	if source.left <= 0 {
		return 0, errHeaderTooLong
	}
	count, err := source.reader.Read(buffer[:min(len(buffer), source.left)])
	source.left -= count
	return count, err
}

// receive reads one request with its body. One that is refused is pending
// without a request, with its answer.
func (connection *connection) receive() *pending {
	limits := connection.server.Handler.Limits().filled()
	next := &pending{answered: make(chan Response, 1), done: make(chan struct{})}
	head, refusal := connection.receiveHead(limits)
	var body []byte
	if refusal == nil {
		body, refusal = connection.receiveBody(head, limits)
	}
	if refusal != nil {
		next.last = true
		next.answered <- connection.server.Handler.HandleMalformed(refusal)
		return next
	}
	next.last = head.Close
	next.request = &Request{Head: head, Body: body, ReadAt: time.Now()}
	return next
}

func (connection *connection) receiveHead(limits Limits) (*http.Request, *balsamproxy.Refusal) {
	connection.source.limit(limits.HeaderBytes - connection.reader.Buffered())
	_ = connection.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	head, err := http.ReadRequest(connection.reader)
	connection.source.unlimited()
	switch {
	case errors.Is(err, errHeaderTooLong):
		return nil, balsamproxy.NotRun(balsamproxy.ReasonHeaderTooLarge, "the header is longer than allowed")
	case err != nil:
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, err.Error())
	case head.ContentLength > int64(limits.BodyBytes):
		return nil, balsamproxy.NotRun(balsamproxy.ReasonTooLarge, "the body is longer than allowed")
	case !properNames(head.Header):
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "a header field has a name that is none")
	}
	return head, nil
}

// properNames says whether all field names are tokens. Other programs might
// read a name with a space as another field.
func properNames(header http.Header) bool {
	for name := range header {
		for _, character := range []byte(name) {
			if character <= ' ' || character >= 0x7f || strings.IndexByte(separators, character) >= 0 {
				return false
			}
		}
	}
	return true
}

// separators may not stand in a token.
const separators = "()<>@,;:\\\"/[]?={}"

// receiveBody reads a whole body.
func (connection *connection) receiveBody(head *http.Request, limits Limits) ([]byte, *balsamproxy.Refusal) {
	if head.Body == http.NoBody || head.ContentLength == 0 {
		return nil, nil
	}
	if head.Header.Get("Expect") != "" {
		connection.askForBody()
	}
	_ = connection.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	server := connection.server
	expected := max(head.ContentLength, bufferBytes)
	defer server.bodies.Add(-expected)
	if server.bodies.Add(expected) > heldBodiesMax {
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

// askForBody lets a caller send a body that it holds back. Nothing else is
// written at that time, since such a request does not run ahead.
func (connection *connection) askForBody() {
	if connection.underWay.Load() > 1 {
		return
	}
	_, _ = connection.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
}
