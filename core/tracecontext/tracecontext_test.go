package tracecontext_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/tracecontext"
)

const (
	trace = "0af7651916cd43dd8448eb211c80319c"
	span  = "b7ad6b7169203331"
	other = "00f067aa0ba902b7"
)

func TestRead(t *testing.T) {
	cases := map[string]struct {
		parent, state string
		spans         []balsamproxy.SpanID
		fromDaemon    bool
	}{
		"none":                      {"", "", nil, false},
		"parent only":               {"00-" + trace + "-" + span + "-01", "", []balsamproxy.SpanID{span}, false},
		"daemon's span comes first": {"00-" + trace + "-" + span + "-01", "x=1, balsam=" + other, []balsamproxy.SpanID{other, span}, true},
		"malformed parent":          {"00-zz-" + span + "-01", "balsam=" + other, []balsamproxy.SpanID{other}, true},
		"zero span":                 {"00-" + trace + "-0000000000000000-01", "", nil, false},
		"malformed state":           {"", "balsam=1", nil, false},
		"parent of a later version": {"01-" + trace + "-" + span + "-01-extra", "", []balsamproxy.SpanID{span}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			header.Set("Traceparent", test.parent)
			header.Set("Tracestate", test.state)
			context := tracecontext.Read(header)
			assert.DeepEqual(t, context.Spans, test.spans)
			assert.Equal(t, context.FromDaemon, test.fromDaemon)
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add("00-"+trace+"-"+span+"-01", "a=1,balsam="+other)
	f.Fuzz(func(t *testing.T, parent, state string) {
		header := http.Header{}
		header.Set("Traceparent", parent)
		header.Set("Tracestate", state)
		tracecontext.Read(header)
		tracecontext.Write(header, trace, span)
		context := tracecontext.Read(header)
		assert.Equal(t, context.Spans[0], balsamproxy.SpanID(span))
		assert.Equal(t, context.Trace, balsamproxy.TraceID(trace))
	})
}
