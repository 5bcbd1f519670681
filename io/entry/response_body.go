package entry

import (
	"io"
	"net/http"

	"balsamproxy/io/http1"
)

// responseBody calls complete when it has been read to its end, and end when it is
// closed.
type responseBody struct {
	io.ReadCloser
	// left is the number of bytes that have not been read, or negative if the length is
	// unknown.
	left     int64
	complete func()
	end      func()
}

// newResponseBody returns the body of a response to the caller. A target has run the
// request well when its whole response has been received.
func (transaction *transaction) newResponseBody(response http1.Response, end func()) *responseBody {
	body := &responseBody{ReadCloser: response.Body, left: response.ContentLength, end: end}
	if transaction.response == nil {
		return body
	}
	fingerprint := transaction.fingerprint()
	complete := func() { transaction.entry.Crashes.RecordRun(fingerprint, transaction.entry.Clock.Now()) }
	if body.left == 0 || transaction.request.Head.Method == http.MethodHead {
		complete()
		return body
	}
	body.complete = complete
	return body
}

// Read reads from the body.
func (body *responseBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if body.left > 0 {
		body.left -= int64(count)
	}
	if body.complete != nil && (body.left == 0 || err == io.EOF && body.left < 0) {
		body.complete()
		body.complete = nil
	}
	return count, err
}

// Close closes the body.
func (body *responseBody) Close() error {
	defer body.end()
	return body.ReadCloser.Close()
}

// Held returns the memory that the body holds on this host, in bytes.
func (body *responseBody) Held() int64 {
	if holder, ok := body.ReadCloser.(interface{ Held() int64 }); ok {
		return holder.Held()
	}
	return 0
}
