// Package httpresponse writes responses and refusals to HTTP peers, and removes
// the hop-by-hop header fields.
package httpresponse

import (
	"net/http"
	"strings"
)

// Header fields of this project.
const (
	HeaderOutcome   = "Balsam-Outcome"
	HeaderReason    = "Balsam-Reason"
	HeaderRequestID = "Balsam-Request-Id"
	// HeaderReplayed marks a replayed response that was recorded earlier.
	HeaderReplayed = "Balsam-Replayed"
	// HeaderTimeout is the remaining time of a request in milliseconds.
	HeaderTimeout = "Balsam-Timeout-Ms"
)

var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect",
}

// CleanHeader returns a copy without hop-by-hop fields and without the fields of
// this project.
func CleanHeader(header http.Header) http.Header {
	cleaned := header.Clone()
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			cleaned.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		cleaned.Del(name)
	}
	for name := range cleaned {
		if strings.HasPrefix(name, "Balsam-") {
			delete(cleaned, name)
		}
	}
	return cleaned
}
