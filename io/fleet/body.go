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

// ErrNoMemory means that there was no memory for a body.
var ErrNoMemory = errors.New("no memory for the body of the request")

// firstBufferBytes is the first size of the buffer for a body.
const firstBufferBytes = 4 << 10

// BufferBody buffers at most limit bytes from the beginning of a body. It takes the memory
// with grow, which reports whether there is enough. It returns an error if there is not,
// if reading fails or if the body ends before its declared length.
func BufferBody(body io.Reader, length, limit int64, grow func(bytes int64) bool) (*Body, error) {
	if length == 0 {
		return &Body{}, nil
	}
	var start []byte
	for int64(len(start)) < limit {
		if len(start) == cap(start) {
			larger := min(max(firstBufferBytes, 2*int64(cap(start))), limit)
			if !grow(larger - int64(cap(start))) {
				return nil, ErrNoMemory
			}
			start = append(make([]byte, 0, larger), start...)
		}
		count, err := body.Read(start[len(start):cap(start)])
		start = start[:len(start)+count]
		if errors.Is(err, io.EOF) {
			return &Body{start: start, length: int64(len(start))}, checkLength(int64(len(start)), length)
		}
		if err != nil {
			return nil, errBodyIncomplete
		}
	}
	return &Body{start: start, rest: body, length: length}, nil
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
