package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/io/peer"
)

// forwarderFunc adapts a function to balsamproxy.Forwarder.
type forwarderFunc func(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error)

func (forwarder forwarderFunc) Forward(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
	return forwarder(ctx, call)
}

type directory map[balsamproxy.HostID]balsamproxy.Member

func (directory directory) Member(host balsamproxy.HostID) (balsamproxy.Member, bool) {
	member, found := directory[host]
	return member, found
}

// newPair returns a pool and the server "there" that it can dial. The server
// forwards calls to forwarder.
func newPair(t testing.TB, forwarder balsamproxy.Forwarder) (*peer.Pool, *peer.Server) {
	t.Helper()
	return newPairWith(t, forwarder, false)
}

func newPairWith(t testing.TB, forwarder balsamproxy.Forwarder, compress bool) (*peer.Pool, *peer.Server) {
	t.Helper()
	server := &peer.Server{Local: forwarder}
	listener := httptest.NewServer(server.Mux())
	members := directory{"there": {Host: "there", PeerAddress: strings.TrimPrefix(listener.URL, "http://")}}
	pool := &peer.Pool{Host: "here", Directory: members}
	pool.ShouldCompress = func(balsamproxy.Member) bool { return compress }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	started := make(chan struct{})
	go func() {
		close(started)
		ended <- pool.Run(ctx)
	}()
	<-started
	t.Cleanup(func() {
		cancel()
		<-ended
		server.Close()
		listener.Close()
	})
	pool.WaitRunning()
	return pool, server
}

func newCall(path string, body []byte) balsamproxy.Call {
	return balsamproxy.Call{
		Head: balsamproxy.CallHead{Path: path, Method: "POST", Timeout: time.Minute, ContentLength: int64(len(body))},
		Body: bytes.NewReader(body),
	}
}

func answerWith(body io.Reader, length int64) *balsamproxy.Response {
	return &balsamproxy.Response{
		Head: balsamproxy.ResponseHead{Status: 200, ContentLength: length},
		Body: io.NopCloser(body),
	}
}

// echo responds to each call with its path and body.
func echo(_ context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
	body, err := io.ReadAll(call.Body)
	if err != nil {
		return nil, balsamproxy.MayHaveRun(balsamproxy.ReasonBadRequest, err.Error())
	}
	text := append([]byte(call.Head.Path+":"), body...)
	return answerWith(bytes.NewReader(text), int64(len(text))), nil
}

func TestRoundTrip(t *testing.T) {
	sizes := map[string]int{
		"empty":               0,
		"one byte":            1,
		"one chunk":           16 << 10,
		"more than one chunk": 16<<10 + 1,
		"more than a window":  64<<10 + 7,
		"many windows":        1 << 20,
	}
	for link, compress := range map[string]bool{"plain": false, "compressed": true} {
		pool, _ := newPairWith(t, forwarderFunc(echo), compress)
		for name, size := range sizes {
			t.Run(link+", "+name, func(t *testing.T) {
				body := bytes.Repeat([]byte("x"), size)
				answer, err := pool.ForwardTo(t.Context(), "there", newCall("/p", body))
				assert.NilError(t, err)
				data, err := io.ReadAll(answer.Body)
				assert.NilError(t, err)
				assert.NilError(t, answer.Body.Close())
				assert.Equal(t, string(data), "/p:"+string(body))
			})
		}
	}
}

// TestResponsesOutOfOrder responds to concurrent calls in the reverse order of
// their arrival. Each caller must receive the response to its own call.
func TestResponsesOutOfOrder(t *testing.T) {
	const calls = 50
	var mutex sync.Mutex
	var order []chan struct{}
	all := make(chan struct{})
	reversed := forwarderFunc(func(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
		turn := make(chan struct{})
		mutex.Lock()
		order = append(order, turn)
		if len(order) == calls {
			close(all)
		}
		mutex.Unlock()
		<-turn
		return echo(ctx, call)
	})
	pool, _ := newPair(t, reversed)
	results := make(chan error, calls)
	for index := range calls {
		go func() { results <- checkEcho(t.Context(), pool, fmt.Sprintf("/%d", index)) }()
	}
	<-all
	for index := calls - 1; index >= 0; index-- {
		close(order[index])
	}
	for range calls {
		assert.NilError(t, <-results)
	}
}

func checkEcho(ctx context.Context, pool *peer.Pool, path string) error {
	answer, err := pool.ForwardTo(ctx, "there", newCall(path, []byte(path)))
	if err != nil {
		return err
	}
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if string(data) != path+":"+path {
		return fmt.Errorf("call %s: response %q", path, data)
	}
	return answer.Body.Close()
}

// TestSlowReaderDoesNotBlockOthers leaves a large response unread. Other calls on
// the same link must still complete.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	large := bytes.Repeat([]byte("y"), 4<<20)
	pool, _ := newPair(t, forwarderFunc(func(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
		if call.Head.Path == "/large" {
			return answerWith(bytes.NewReader(large), int64(len(large))), nil
		}
		return echo(ctx, call)
	}))
	slow, err := pool.ForwardTo(t.Context(), "there", newCall("/large", nil))
	assert.NilError(t, err)
	for index := range 100 {
		assert.NilError(t, checkEcho(t.Context(), pool, fmt.Sprintf("/%d", index)))
	}
	data, err := io.ReadAll(slow.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(data), len(large))
}

// brokenReader returns an error after a number of bytes.
type brokenReader struct{ left int }

func (reader *brokenReader) Read(buffer []byte) (int, error) {
	if reader.left == 0 {
		return 0, errors.New("broken")
	}
	count := min(reader.left, len(buffer))
	reader.left -= count
	return count, nil
}

func TestTruncatedResponseFails(t *testing.T) {
	cases := map[string]struct {
		sent   int
		length int64
	}{
		"short, with a length":    {sent: 10, length: 20},
		"long, with a length":     {sent: 100 << 10, length: 200 << 10},
		"long, without a length":  {sent: 100 << 10, length: -1},
		"short, without a length": {sent: 10, length: -1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			pool, _ := newPair(t, forwarderFunc(func(context.Context, balsamproxy.Call) (*balsamproxy.Response, error) {
				return answerWith(&brokenReader{left: test.sent}, test.length), nil
			}))
			answer, err := pool.ForwardTo(t.Context(), "there", newCall("/", nil))
			if err == nil {
				_, err = io.ReadAll(answer.Body)
			}
			var refusal *balsamproxy.Refusal
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, refusal.Outcome, balsamproxy.OutcomeMayHaveRun)
		})
	}
}

// TestLostLink checks the outcomes of a call whose link is closed while the call
// is in progress, and of a call to an unknown host.
func TestLostLink(t *testing.T) {
	arrived := make(chan struct{})
	pool, server := newPair(t, forwarderFunc(func(ctx context.Context, _ balsamproxy.Call) (*balsamproxy.Response, error) {
		close(arrived)
		<-ctx.Done()
		return nil, balsamproxy.MayHaveRun(balsamproxy.ReasonCancelled, "")
	}))
	failed := make(chan error, 1)
	go func() {
		_, err := pool.ForwardTo(t.Context(), "there", newCall("/", nil))
		failed <- err
	}()
	<-arrived
	server.Close()
	var refusal *balsamproxy.Refusal
	assert.Assert(t, errors.As(<-failed, &refusal))
	assert.Equal(t, refusal.Outcome, balsamproxy.OutcomeMayHaveRun)
	assert.Equal(t, refusal.Reason, balsamproxy.ReasonPeerLost)
	_, err := pool.ForwardTo(t.Context(), "nowhere", newCall("/", nil))
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Outcome, balsamproxy.OutcomeNotRun)
}

func TestCancelReachesTheTarget(t *testing.T) {
	arrived := make(chan struct{})
	cancelled := make(chan struct{})
	pool, _ := newPair(t, forwarderFunc(func(ctx context.Context, _ balsamproxy.Call) (*balsamproxy.Response, error) {
		close(arrived)
		<-ctx.Done()
		close(cancelled)
		return nil, balsamproxy.MayHaveRun(balsamproxy.ReasonCancelled, "")
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := pool.ForwardTo(ctx, "there", newCall("/", nil))
	assert.ErrorContains(t, err, string(balsamproxy.OutcomeMayHaveRun))
	<-cancelled
}

func TestQuestions(t *testing.T) {
	pool, server := newPair(t, forwarderFunc(echo))
	peer.Handle(server, "double", func(_ context.Context, from balsamproxy.HostID, asked int) (string, error) {
		if asked < 0 {
			return "", errors.New("negative")
		}
		return fmt.Sprint(from, 2*asked), nil
	})
	answered, err := peer.Ask[int, string](t.Context(), pool, "there", "double", 21)
	assert.NilError(t, err)
	assert.Equal(t, answered, "here42")
	_, err = peer.Ask[int, string](t.Context(), pool, "there", "double", -1)
	assert.ErrorIs(t, err, peer.ErrQuestionRefused)
	_, err = peer.Ask[int, string](t.Context(), pool, "there", "triple", 1)
	assert.ErrorIs(t, err, peer.ErrQuestionRefused)
	_, err = peer.Ask[int, string](t.Context(), pool, "nowhere", "double", 1)
	assert.ErrorIs(t, err, peer.ErrUnreachable)
}

// TestLeave checks that a leaving daemon completes the calls in progress and
// refuses new ones as not run.
func TestLeave(t *testing.T) {
	arrived := make(chan struct{})
	release := make(chan struct{})
	pool, server := newPair(t, forwarderFunc(func(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
		close(arrived)
		<-release
		return echo(ctx, call)
	}))
	result := make(chan error, 1)
	go func() { result <- checkEcho(t.Context(), pool, "/slow") }()
	<-arrived
	server.Leave()
	ended := server.RefuseCalls()
	_, err := pool.ForwardTo(t.Context(), "there", newCall("/late", nil))
	assert.ErrorContains(t, err, string(balsamproxy.OutcomeNotRun))
	close(release)
	assert.NilError(t, <-result)
	<-ended
}

// TestUnresponsiveHost dials a host that accepts the connection and never responds
// to the handshake. A second call must fail without waiting for the first dial to
// time out.
func TestUnresponsiveHost(t *testing.T) {
	dialling := make(chan struct{}, 1)
	release := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		dialling <- struct{}{}
		<-release
	}))
	defer silent.Close()
	pool, _ := newPair(t, forwarderFunc(echo))
	pool.Directory = directory{"silent": {Host: "silent", PeerAddress: strings.TrimPrefix(silent.URL, "http://")}}
	first := make(chan error, 1)
	go func() {
		_, err := pool.ForwardTo(t.Context(), "silent", newCall("/", nil))
		first <- err
	}()
	<-dialling
	_, err := pool.ForwardTo(t.Context(), "silent", newCall("/", nil))
	close(release)
	assert.ErrorContains(t, err, "another call is dialling")
	assert.ErrorContains(t, err, string(balsamproxy.OutcomeNotRun))
	assert.ErrorContains(t, <-first, string(balsamproxy.OutcomeNotRun))
}
