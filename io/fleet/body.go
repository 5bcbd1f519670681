package fleet

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"balsamproxy"
)

// BodyBufferBytes is the usual limit of BufferBody. A body up to this size is
// known to be complete before the call is sent, and can be sent again on a retry.
const BodyBufferBytes = 64 << 10

var errBodyIncomplete = errors.New("the body of the request ended early or is malformed")

// Body is a request body whose beginning is buffered. The zero value is an empty
// body.
type Body struct {
	start  []byte
	rest   io.Reader
	length int64
	// restRead is set once data beyond the buffer has been read.
	restRead atomic.Bool
	readErr  atomic.Pointer[error]
}

// BufferBody buffers at most limit bytes from the beginning of a body. It returns
// an error if reading them fails or the body ends before its declared length.
func BufferBody(body io.Reader, length, limit int64) (*Body, error) {
	if length == 0 {
		return &Body{}, nil
	}
	var start bytes.Buffer
	count, err := io.CopyN(&start, body, limit)
	if errors.Is(err, io.EOF) {
		return &Body{start: start.Bytes(), length: count}, checkLength(count, length)
	}
	if err != nil {
		return nil, errBodyIncomplete
	}
	return &Body{start: start.Bytes(), rest: body, length: length}, nil
}

func checkLength(count, length int64) error {
	if length >= 0 && count != length {
		return errBodyIncomplete
	}
	return nil
}

// Buffered returns the buffered bytes and reports whether they are the complete
// body.
func (body *Body) Buffered() ([]byte, bool) {
	return body.start, body.rest == nil
}

// replayable reports whether the body can be sent again.
func (body *Body) replayable() bool {
	return !body.restRead.Load()
}

// reader returns a reader from the beginning of the body.
func (body *Body) reader() io.Reader {
	start := bytes.NewReader(body.start)
	if body.rest == nil {
		return start
	}
	return io.MultiReader(start, &restReader{body: body})
}

type restReader struct {
	body *Body
}

func (reader *restReader) Read(buffer []byte) (int, error) {
	reader.body.restRead.Store(true)
	count, err := reader.body.rest.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		reader.body.readErr.Store(&err)
	}
	return count, err
}

// readFailure returns the reason and detail of the read error that occurred while the
// body was sent. It returns false if there was none.
func (body *Body) readFailure() (balsamproxy.Reason, string, bool) {
	readErr := body.readErr.Load()
	if readErr == nil {
		return "", "", false
	}
	var tooLarge *http.MaxBytesError
	if errors.As(*readErr, &tooLarge) {
		return balsamproxy.ReasonTooLarge, "the body is longer than allowed", true
	}
	return balsamproxy.ReasonBadRequest, errBodyIncomplete.Error(), true
}
