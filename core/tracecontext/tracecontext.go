// Package tracecontext reads and writes the traceparent and tracestate headers
// of W3C Trace Context.
package tracecontext

import (
	"net/http"
	"regexp"
	"strings"

	"balsamproxy"
)

// Names of the headers.
const (
	HeaderParent = "Traceparent"
	HeaderState  = "Tracestate"
)

// stateKey is the key of this proxy's tracestate entry. The entry is preserved
// by targets that replace the parent id in traceparent with their own span.
const stateKey = "balsam"

// maxStateMembers is the maximum number of tracestate entries in W3C Trace
// Context.
const maxStateMembers = 32

var (
	parentPattern = regexp.MustCompile(`^[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}(-.*)?$`)
	spanPattern   = regexp.MustCompile(`^[0-9a-f]{16}$`)
)

// Ids that W3C Trace Context defines as invalid.
const (
	invalidTraceID = "00000000000000000000000000000000"
	invalidSpanID  = "0000000000000000"
)

// Context is the trace context of one request.
type Context struct {
	Trace balsamproxy.TraceID
	// Spans are the candidate parent spans, the most likely first.
	Spans []balsamproxy.SpanID
	// FromDaemon is set if tracestate contains a span id assigned by a daemon.
	// That span is then the first of Spans.
	FromDaemon bool
}

// Read returns the trace context of a request. Fields whose header is absent or
// malformed are empty.
func Read(header http.Header) Context {
	context := Context{}
	if span, found := readDaemonSpan(header); found {
		context.Spans = append(context.Spans, span)
		context.FromDaemon = true
	}
	groups := parentPattern.FindStringSubmatch(header.Get(HeaderParent))
	if groups == nil || groups[1] == invalidTraceID || groups[2] == invalidSpanID {
		return context
	}
	context.Trace = balsamproxy.TraceID(groups[1])
	context.Spans = append(context.Spans, balsamproxy.SpanID(groups[2]))
	return context
}

func readDaemonSpan(header http.Header) (balsamproxy.SpanID, bool) {
	for _, member := range stateMembers(header) {
		name, value, _ := strings.Cut(member, "=")
		if name == stateKey && spanPattern.MatchString(value) {
			return balsamproxy.SpanID(value), true
		}
	}
	return "", false
}

func stateMembers(header http.Header) []string {
	members := []string{}
	for _, line := range header.Values(HeaderState) {
		for member := range strings.SplitSeq(line, ",") {
			member = strings.TrimSpace(member)
			if member != "" && len(members) < maxStateMembers {
				members = append(members, member)
			}
		}
	}
	return members
}

// Write sets traceparent, and puts this proxy's entry in front of the other
// entries in tracestate.
func Write(header http.Header, trace balsamproxy.TraceID, span balsamproxy.SpanID) {
	state := []string{stateKey + "=" + string(span)}
	for _, member := range stateMembers(header) {
		if !strings.HasPrefix(member, stateKey+"=") && len(state) < maxStateMembers {
			state = append(state, member)
		}
	}
	header.Set(HeaderParent, "00-"+string(trace)+"-"+string(span)+"-01")
	header.Set(HeaderState, strings.Join(state, ","))
}
