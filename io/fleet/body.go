package fleet

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"balsamproxy"
)

// BodyBufferBytes is how much of a request's body is usually held before the call is
// sent, so that a small body is known to be whole and can be sent again.
const BodyBufferBytes = 64 << 10

var errBodyCut = errors.New("the body of the request ended early or is malformed")

// Body is a request's body of which the beginning is held. Its zero value is
// an empty body.
type Body struct {
	start  []byte
	rest   io.Reader
	length int64
	// restRead is set once a part was read that is not held.
	restRead atomic.Bool
	broken   atomic.Pointer[error]
}

// BufferBody reads the beginning of a body, at most limit bytes. It fails if the
// body is broken within that part.
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
		return nil, errBodyCut
	}
	return &Body{start: start.Bytes(), rest: body, length: length}, nil
}

func checkLength(count, length int64) error {
	if length >= 0 && count != length {
		return errBodyCut
	}
	return nil
}

// Buffered returns the body if all of it is held.
func (body *Body) Buffered() ([]byte, bool) {
	return body.start, body.rest == nil
}

// replayable says whether the body can be sent once more.
func (body *Body) replayable() bool {
	return !body.restRead.Load()
}

// reader returns the body from its beginning.
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
		reader.body.broken.Store(&err)
	}
	return count, err
}

// refusal returns the reason and the detail of a body that broke while it was
// sent, and false if it did not.
func (body *Body) refusal() (balsamproxy.Reason, string, bool) {
	broken := body.broken.Load()
	if broken == nil {
		return "", "", false
	}
	var tooLarge *http.MaxBytesError
	if errors.As(*broken, &tooLarge) {
		return balsamproxy.ReasonTooLarge, "the body is longer than allowed", true
	}
	return balsamproxy.ReasonBadRequest, errBodyCut.Error(), true
}
