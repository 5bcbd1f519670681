package entry

import "io"

// responseBody calls end when it is closed.
type responseBody struct {
	io.ReadCloser
	end func()
}

// Close closes the body.
func (body *responseBody) Close() error {
	defer body.end()
	return body.ReadCloser.Close()
}
