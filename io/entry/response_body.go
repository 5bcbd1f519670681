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

// Held returns the memory that the body holds on this host, in bytes.
func (body *responseBody) Held() int64 {
	if holder, ok := body.ReadCloser.(interface{ Held() int64 }); ok {
		return holder.Held()
	}
	return 0
}
