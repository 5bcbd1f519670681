package peer

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"github.com/rotisserie/eris"

	"balsamproxy"
	"balsamproxy/task"
)

// hopMargin is taken off the deadline at each hop, so that the farther daemon
// refuses first and can say what became of the call.
const hopMargin = 2 * time.Millisecond

// clientLink is the dialling side of a link.
type clientLink struct {
	*link
	next    atomic.Uint64
	leaving atomic.Bool
	// learned is told what the peer says of itself; it may be nil.
	learned func(balsamproxy.Status)
	heard   atomic.Int64
	// silences counts the probe intervals without a word from the peer.
	silences int
}

func newClientLink(link *link) *clientLink {
	client := &clientLink{link: link}
	client.hear()
	link.conn.SetPongHandler(func(string) error {
		client.hear()
		return nil
	})
	return client
}

func (client *clientLink) hear() {
	client.heard.Store(time.Now().UnixNano())
}

// usable says whether new calls may go over the link.
func (client *clientLink) usable() bool {
	select {
	case <-client.done:
		return false
	default:
		return !client.leaving.Load()
	}
}

func (client *clientLink) run(ctx context.Context) error {
	return client.link.run(ctx, client.receive)
}

// probe ends the link if calls wait while nothing is heard of the peer. It is
// called once in each probe interval, by one goroutine.
func (client *clientLink) probe(now time.Time) {
	silent := now.UnixNano()-client.heard.Load() > int64(probeInterval)
	client.silences = client.countSilence(client.silences, silent)
	if client.silences > probeFailures {
		_ = client.conn.Close()
	}
}

func (client *clientLink) countSilence(waited int, silent bool) int {
	if !silent || client.openStreams() == 0 {
		return 0
	}
	_ = client.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(probeInterval))
	return waited + 1
}

func (client *clientLink) receive(frame *frame) error {
	client.hear()
	if frame.Status != nil {
		if client.learned != nil {
			client.learned(*frame.Status)
		}
		return nil
	}
	if frame.Leaving {
		client.leaving.Store(true)
		return nil
	}
	stream := client.find(frame.Stream)
	if stream == nil {
		return nil
	}
	if frame.Credit > 0 {
		stream.outbound.grant(frame.Credit)
	}
	if err := stream.inbound.receive(frame.Data, frame.End); err != nil {
		return err
	}
	if frame.Answer != nil || frame.Refusal != nil || frame.Reply != nil {
		stream.receiveHead(frame)
	}
	return nil
}

// receiveHead hands over the first head; a refusal after it fails the body.
func (stream *stream) receiveHead(head *frame) {
	if head.Refusal != nil {
		stream.inbound.fail(head.Refusal)
		stream.outbound.fail(head.Refusal)
	}
	select {
	case stream.heads <- head:
	default:
	}
}

func (client *clientLink) newStream() (*stream, error) {
	stream := newStream(streamID(client.next.Add(1)), client.link)
	if !client.open(stream) {
		return nil, ErrLinkLost
	}
	return stream, nil
}

// ForwardTo brings a call to the daemon beside its target. An error is a
// *balsamproxy.Refusal.
func (pool *Pool) ForwardTo(ctx context.Context, host balsamproxy.HostID, call balsamproxy.Call) (*balsamproxy.Response, error) {
	link, err := pool.link(ctx, host)
	if err != nil {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonPeerUnreachable, err.Error())
	}
	data, whole, err := readFirst(call.Body, call.Head.ContentLength)
	if err != nil {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "body ended early")
	}
	stream, err := link.newStream()
	if err != nil {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonPeerUnreachable, err.Error())
	}
	head := call.Head
	head.Timeout = timeLeft(ctx, head.Timeout) - hopMargin
	if err := link.send(&frame{Stream: stream.id, Call: &head, Data: data, End: whole}); err != nil {
		link.close(stream.id)
		return nil, balsamproxy.NotRun(balsamproxy.ReasonPeerUnreachable, err.Error())
	}
	exchange := &exchange{stream: stream, context: ctx}
	if !whole {
		exchange.startBody(call.Body)
	}
	return exchange.answer()
}

func timeLeft(ctx context.Context, timeout time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return timeout
	}
	return min(timeout, time.Until(deadline))
}

// exchange is a call under way at the dialling side. It is the body of its
// answer.
type exchange struct {
	stream  *stream
	context context.Context
	cancel  context.CancelFunc
	body    <-chan error
	ended   atomic.Bool
}

func (exchange *exchange) startBody(body io.Reader) {
	ctx, cancel := context.WithCancel(exchange.context)
	exchange.cancel = cancel
	exchange.body = task.Start(ctx, func(ctx context.Context) error {
		err := exchange.stream.writeBody(ctx, body)
		if err != nil {
			_ = exchange.stream.link.send(&frame{Stream: exchange.stream.id, Cancel: true})
			exchange.stream.inbound.fail(eris.Wrap(err, "request body"))
			signalHead(exchange.stream)
		}
		return err
	})
}

func signalHead(stream *stream) {
	select {
	case stream.heads <- &frame{}:
	default:
	}
}

func (exchange *exchange) answer() (*balsamproxy.Response, error) {
	select {
	case head := <-exchange.stream.heads:
		if head.Answer != nil {
			return &balsamproxy.Response{Head: *head.Answer, Body: exchange}, nil
		}
		exchange.finish()
		return nil, exchange.refusal(head)
	case <-exchange.context.Done():
		exchange.finish()
		return nil, contextRefusal(exchange.context)
	}
}

func (exchange *exchange) refusal(head *frame) *balsamproxy.Refusal {
	if head.Refusal != nil {
		return head.Refusal
	}
	return balsamproxy.MayHaveRun(balsamproxy.ReasonPeerLost, "the link or the request body broke before an answer came")
}

func contextRefusal(ctx context.Context) *balsamproxy.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return balsamproxy.MayHaveRun(balsamproxy.ReasonDeadline, "no answer in time")
	}
	return balsamproxy.MayHaveRun(balsamproxy.ReasonCancelled, "the caller went away")
}

// Read returns the next part of the answer's body.
func (exchange *exchange) Read(buffer []byte) (int, error) {
	count, err := exchange.stream.read(exchange.context, buffer)
	if errors.Is(err, io.EOF) {
		exchange.ended.Store(true)
	}
	return count, err
}

// Close ends the exchange; an unfinished one is cancelled at the peer.
func (exchange *exchange) Close() error {
	exchange.finish()
	return nil
}

func (exchange *exchange) finish() {
	if !exchange.ended.Swap(true) {
		_ = exchange.stream.link.send(&frame{Stream: exchange.stream.id, Cancel: true})
	}
	exchange.stream.link.close(exchange.stream.id)
	if exchange.body == nil {
		return
	}
	exchange.cancel()
	exchange.stream.outbound.fail(ErrLinkLost)
}
