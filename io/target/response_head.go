package target

import (
	"errors"
	"io"
	"math"
	"net/http"

	"balsamproxy"
)

const (
	// interimMax is the maximum number of interim (1xx) responses to a request.
	interimMax = 8
	// responseHeadBytesMax is the maximum size of the heads of a response and of
	// the interim responses before it.
	responseHeadBytesMax = 64 << 10
)

var (
	errTooManyInterim = errors.New("target: too many interim answers")
	errHeadTooLong    = errors.New("target: the head of the answer is too long")
	errInvalidStatus  = errors.New("target: the answer has an invalid status")
)

// limitedReader is a reader that fails after a number of bytes.
type limitedReader struct {
	io.Reader
	left int64
}

// Read implements io.Reader.
func (reader *limitedReader) Read(buffer []byte) (int, error) {
	if reader.left <= 0 {
		return 0, errHeadTooLong
	}
	if int64(len(buffer)) > reader.left {
		buffer = buffer[:reader.left]
	}
	count, err := reader.Reader.Read(buffer)
	reader.left -= int64(count)
	return count, err
}

// readFinalResponse reads the head of the final response to a request. Its
// parser has no limit of its own.
func (connection *connection) readFinalResponse(request *http.Request) (*http.Response, error) {
	connection.limited.left = responseHeadBytesMax
	defer func() { connection.limited.left = math.MaxInt64 }()
	for range interimMax {
		response, err := http.ReadResponse(connection.reader, request)
		if err != nil || balsamproxy.IsFinalStatus(response.StatusCode) {
			return response, err
		}
		if !isInterimStatus(response.StatusCode) {
			return nil, errInvalidStatus
		}
	}
	return nil, errTooManyInterim
}

// isInterimStatus reports whether another response to the same request follows.
// After 101 the connection no longer carries HTTP.
func isInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
