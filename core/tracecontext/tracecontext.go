// Package tracecontext reads and writes the two headers of W3C Trace Context.
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

// stateMember is the project's own entry in the trace state. It survives
// targets that put spans of their own into the trace parent.
const stateMember = "balsam"

const stateMembersMax = 32

var (
	parentPattern = regexp.MustCompile(`^[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}(-.*)?$`)
	spanPattern   = regexp.MustCompile(`^[0-9a-f]{16}$`)
)

const (
	zeroTrace = "00000000000000000000000000000000"
	zeroSpan  = "0000000000000000"
)

// Context is the trace context of one request.
type Context struct {
	Trace balsamproxy.TraceID
	// Spans are the possible parents, the likeliest first.
	Spans []balsamproxy.SpanID
	// FromDaemon says that the trace state names a span that a daemon gave.
	FromDaemon bool
}

// Read returns the trace context of a request; its fields are empty if there
// is none.
func Read(header http.Header) Context {
	context := Context{}
	if span, found := readState(header); found {
		context.Spans = append(context.Spans, span)
		context.FromDaemon = true
	}
	groups := parentPattern.FindStringSubmatch(header.Get(HeaderParent))
	if groups == nil || groups[1] == zeroTrace || groups[2] == zeroSpan {
		return context
	}
	context.Trace = balsamproxy.TraceID(groups[1])
	context.Spans = append(context.Spans, balsamproxy.SpanID(groups[2]))
	return context
}

func readState(header http.Header) (balsamproxy.SpanID, bool) {
	for _, member := range stateMembers(header) {
		name, value, _ := strings.Cut(member, "=")
		if name == stateMember && spanPattern.MatchString(value) {
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
			if member != "" && len(members) < stateMembersMax {
				members = append(members, member)
			}
		}
	}
	return members
}

// Write puts a trace and a span into a header, ahead of the trace state that
// stands there.
func Write(header http.Header, trace balsamproxy.TraceID, span balsamproxy.SpanID) {
	state := []string{stateMember + "=" + string(span)}
	for _, member := range stateMembers(header) {
		if !strings.HasPrefix(member, stateMember+"=") && len(state) < stateMembersMax {
			state = append(state, member)
		}
	}
	header.Set(HeaderParent, "00-"+string(trace)+"-"+string(span)+"-01")
	header.Set(HeaderState, strings.Join(state, ","))
}
