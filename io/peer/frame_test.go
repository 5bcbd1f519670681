package peer

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
)

func encoded(t testing.TB, frame *frame) []byte {
	t.Helper()
	buffer := &bytes.Buffer{}
	assert.NilError(t, newCodec().encode(frame, buffer))
	return buffer.Bytes()
}

func TestFrameRoundTrip(t *testing.T) {
	cases := map[string]frame{
		"call": {Stream: 1, Call: &balsamproxy.CallHead{
			RequestID: "r", Method: "GET", Path: "/", Timeout: time.Second, ContentLength: -1,
			Header: map[string][]string{"A": {"b", "c"}},
		}, Data: []byte("body"), End: true},
		"refusal": {Stream: 2, Refusal: balsamproxy.NotRun(balsamproxy.ReasonDraining, "detail")},
		"credit":  {Stream: 3, Credit: 1000},
		"leaving": {Leaving: true},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			data := append(encoded(t, &want), encoded(t, &frame{Stream: 9})...)
			got, rest, err := newCodec().decode(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
			next, rest, err := newCodec().decode(rest)
			assert.NilError(t, err)
			assert.Equal(t, next.Stream, streamID(9))
			assert.Equal(t, len(rest), 0)
		})
	}
}

// FuzzFrame decodes arbitrary bytes as frames, which must not panic.
func FuzzFrame(f *testing.F) {
	f.Add(encoded(f, &frame{Stream: 1, Call: &balsamproxy.CallHead{Timeout: 1}, Data: []byte("x"), End: true}))
	f.Add(encoded(f, &frame{Stream: 1, Answer: &balsamproxy.ResponseHead{Status: 200}}))
	f.Add(encoded(f, &frame{Stream: 1, Question: &question{Kind: "k", Body: []byte{0xf6}}}))
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		for len(data) > 0 {
			_, rest, err := newCodec().decode(data)
			if err != nil {
				return
			}
			data = rest
		}
	})
}

// TestProtocolViolations checks that the server side ends the link or ignores
// invalid frames, and does not panic.
func TestProtocolViolations(t *testing.T) {
	cases := map[string]struct {
		frames []*frame
		ends   bool
	}{
		"data without a stream":   {[]*frame{{Stream: 5, Data: []byte("x")}}, false},
		"cancel without a stream": {[]*frame{{Stream: 5, Cancel: true}}, false},
		"more data than credit":   {[]*frame{{Stream: 1, Call: &balsamproxy.CallHead{Timeout: time.Minute}}, {Stream: 1, Data: make([]byte, windowBytes+1)}}, true},
		"answer from the dialer":  {[]*frame{{Stream: 1, Answer: &balsamproxy.ResponseHead{}}}, false},
		"call without a timeout":  {[]*frame{{Stream: 1, Call: &balsamproxy.CallHead{}}}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			server := &Server{Local: refuseAll{}}
			link := &serverLink{link: newDetachedLink(), server: server}
			var err error
			for _, frame := range test.frames {
				if err == nil {
					err = link.receive(t.Context(), frame)
				}
			}
			assert.Equal(t, err != nil, test.ends)
			link.end()
			<-server.calls.Ended()
		})
	}
}
