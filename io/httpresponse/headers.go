// Package httpresponse writes answers and refusals to HTTP peers, and cleans the
// headers that one hop must not pass to the next.
package httpresponse

import (
	"net/http"
	"strings"
)

// Names of the project's own headers.
const (
	HeaderOutcome   = "Balsam-Outcome"
	HeaderReason    = "Balsam-Reason"
	HeaderRequestID = "Balsam-Request-Id"
	// HeaderReplayed marks an answer that was recorded earlier.
	HeaderReplayed = "Balsam-Replayed"
	// HeaderTimeout carries the time left for a request in milliseconds.
	HeaderTimeout = "Balsam-Timeout-Ms"
)

var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect",
}

// CleanHeader returns a copy without the headers that are meant for one hop
// only and without the project's own.
func CleanHeader(header http.Header) http.Header {
	cleaned := header.Clone()
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			cleaned.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		cleaned.Del(name)
	}
	for name := range cleaned {
		if strings.HasPrefix(name, "Balsam-") {
			delete(cleaned, name)
		}
	}
	return cleaned
}
