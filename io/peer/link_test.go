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

// carrierFunc is a carrier made of a function.
type carrierFunc func(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error)

func (carrier carrierFunc) Forward(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
	return carrier(ctx, call)
}

type directory map[balsamproxy.HostID]balsamproxy.Member

func (directory directory) Member(host balsamproxy.HostID) (balsamproxy.Member, bool) {
	member, found := directory[host]
	return member, found
}

// newPair returns a pool that is linked to a server with a carrier.
func newPair(t testing.TB, carrier balsamproxy.Forwarder) (*peer.Pool, *peer.Server) {
	t.Helper()
	return newPairWith(t, carrier, false)
}

func newPairWith(t testing.TB, carrier balsamproxy.Forwarder, compresses bool) (*peer.Pool, *peer.Server) {
	t.Helper()
	server := &peer.Server{Local: carrier}
	listener := httptest.NewServer(server.Mux())
	members := directory{"there": {Host: "there", PeerAddress: strings.TrimPrefix(listener.URL, "http://")}}
	pool := &peer.Pool{Host: "here", Directory: members}
	pool.ShouldCompress = func(balsamproxy.Member) bool { return compresses }
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

// echo answers each call with its path and body.
func echo(_ context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
	body, err := io.ReadAll(call.Body)
	if err != nil {
		return nil, balsamproxy.MayHaveRun(balsamproxy.ReasonBadRequest, err.Error())
	}
	text := append([]byte(call.Head.Path+":"), body...)
	return answerWith(bytes.NewReader(text), int64(len(text))), nil
}

func TestCarryWhole(t *testing.T) {
	sizes := map[string]int{
		"empty":              0,
		"one byte":           1,
		"one part":           16 << 10,
		"more than one part": 16<<10 + 1,
		"more than a window": 64<<10 + 7,
		"many windows":       1 << 20,
	}
	for link, compresses := range map[string]bool{"plain": false, "compressed": true} {
		pool, _ := newPairWith(t, carrierFunc(echo), compresses)
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

// TestAnswersCrossed answers calls in the reverse order of their arrival, and
// one only after its caller has gone; each caller must get its own answer.
func TestAnswersCrossed(t *testing.T) {
	const calls = 50
	var mutex sync.Mutex
	var order []chan struct{}
	all := make(chan struct{})
	crossed := carrierFunc(func(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
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
	pool, _ := newPair(t, crossed)
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
		return fmt.Errorf("%s was answered with %q", path, data)
	}
	return answer.Body.Close()
}

// TestSlowReaderStallsNobody leaves one large answer unread while others on
// the same link go on.
func TestSlowReaderStallsNobody(t *testing.T) {
	large := bytes.Repeat([]byte("y"), 4<<20)
	pool, _ := newPair(t, carrierFunc(func(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
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

// brokenReader fails after some bytes.
type brokenReader struct{ left int }

func (reader *brokenReader) Read(buffer []byte) (int, error) {
	if reader.left == 0 {
		return 0, errors.New("broken")
	}
	count := min(reader.left, len(buffer))
	reader.left -= count
	return count, nil
}

func TestBrokenAnswerIsNeverWhole(t *testing.T) {
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
			pool, _ := newPair(t, carrierFunc(func(context.Context, balsamproxy.Call) (*balsamproxy.Response, error) {
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

// TestLostLink ends the link while a call is under way, and before one.
func TestLostLink(t *testing.T) {
	arrived := make(chan struct{})
	pool, server := newPair(t, carrierFunc(func(ctx context.Context, _ balsamproxy.Call) (*balsamproxy.Response, error) {
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
	pool, _ := newPair(t, carrierFunc(func(ctx context.Context, _ balsamproxy.Call) (*balsamproxy.Response, error) {
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
	pool, server := newPair(t, carrierFunc(echo))
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

// TestLeave checks that a leaving daemon finishes what is under way.
func TestLeave(t *testing.T) {
	arrived := make(chan struct{})
	release := make(chan struct{})
	pool, server := newPair(t, carrierFunc(func(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
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

// TestHostThatDoesNotAnswer dials a host that takes connections and says
// nothing. A second call must not wait for the end of the first one's dial.
func TestHostThatDoesNotAnswer(t *testing.T) {
	dialling := make(chan struct{}, 1)
	release := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		dialling <- struct{}{}
		<-release
	}))
	defer silent.Close()
	pool, _ := newPair(t, carrierFunc(echo))
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
