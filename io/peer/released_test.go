package peer_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/memory"
)

// releasedBody fails as a body does that is released while it is sent.
type releasedBody chan struct{}

func (body releasedBody) Read([]byte) (int, error) {
	<-body
	return 0, memory.ErrReleased
}

// TestReleasedBodyKeepsTheAnswer guards against a call that is cancelled while its
// answer is read, because the rest of its body was released when the answer came.
func TestReleasedBodyKeepsTheAnswer(t *testing.T) {
	const answerBytes = 1 << 20
	early := forwarderFunc(func(context.Context, balsamproxy.Call) (*balsamproxy.Response, error) {
		return answerWith(strings.NewReader(strings.Repeat("x", answerBytes)), -1), nil
	})
	pool, _ := newPair(t, early)
	call := newCall("/p", nil)
	body := make(releasedBody)
	call.Head.ContentLength, call.Body = 1<<20, io.MultiReader(bytes.NewReader(make([]byte, 1000)), body)
	answer, err := pool.ForwardTo(t.Context(), "there", call)
	assert.NilError(t, err)
	close(body)
	// A cancellation would arrive before the rest of the answer is read.
	time.Sleep(50 * time.Millisecond)
	data, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, len(data), answerBytes)
}
