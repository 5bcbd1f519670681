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
	"balsamproxy/core/memory"
	"balsamproxy/task"
)

// hopMargin is subtracted from the timeout at each hop, so that the remote daemon
// times out first and can still report whether the call may have run.
const hopMargin = 2 * time.Millisecond

// clientLink is the dialling side of a link.
type clientLink struct {
	*link
	next    atomic.Uint64
	leaving atomic.Bool
	// onStatus is called with each status that the peer sends; it may be nil.
	onStatus func(balsamproxy.Status)
	// lastReceived is when the peer last sent anything, in Unix nanoseconds.
	lastReceived atomic.Int64
	// missedProbes counts consecutive probe intervals in which calls were open
	// and nothing was received.
	missedProbes int
}

func newClientLink(link *link) *clientLink {
	client := &clientLink{link: link}
	client.noteReceived()
	link.conn.SetPongHandler(func(string) error {
		client.noteReceived()
		return nil
	})
	return client
}

func (client *clientLink) noteReceived() {
	client.lastReceived.Store(time.Now().UnixNano())
}

// usable reports whether the link accepts new calls.
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

// probe closes the link if streams are open and the peer has sent nothing for
// more than missedProbesMax probe intervals. It is called once per probe
// interval, by a single goroutine.
func (client *clientLink) probe(now time.Time) {
	silent := now.UnixNano()-client.lastReceived.Load() > int64(probeInterval)
	client.missedProbes = client.countMissedProbes(client.missedProbes, silent)
	if client.missedProbes > missedProbesMax {
		_ = client.conn.Close()
	}
}

func (client *clientLink) countMissedProbes(missed int, silent bool) int {
	if !silent || client.streamCount() == 0 {
		return 0
	}
	_ = client.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(probeInterval))
	return missed + 1
}

func (client *clientLink) receive(frame *frame) error {
	client.noteReceived()
	if frame.Status != nil {
		if client.onStatus != nil {
			client.onStatus(*frame.Status)
		}
		return nil
	}
	if frame.Leaving {
		client.leaving.Store(true)
		return nil
	}
	stream := client.findStream(frame.Stream)
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

// receiveHead delivers the first head of the stream. A refusal, also one after
// the head, fails the bodies in both directions.
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
	if !client.addStream(stream) {
		return nil, ErrLinkLost
	}
	return stream, nil
}

// ForwardTo sends a call to the daemon on the host of its target. A returned
// error is a *balsamproxy.Refusal.
func (pool *Pool) ForwardTo(ctx context.Context, host balsamproxy.HostID, call balsamproxy.Call) (*balsamproxy.Response, error) {
	link, err := pool.link(ctx, host)
	if err != nil {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonPeerUnreachable, err.Error())
	}
	data, complete, err := readSmallBody(call.Body, call.Head.ContentLength)
	if err != nil {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "body ended early")
	}
	if call.IsRecalled() {
		return nil, balsamproxy.RecalledRefusal()
	}
	stream, err := link.newStream()
	if err != nil {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonPeerUnreachable, err.Error())
	}
	head := call.Head
	head.Timeout = remainingTimeout(ctx, head.Timeout) - hopMargin
	if err := link.send(&frame{Stream: stream.id, Call: &head, Data: data, End: complete}); err != nil {
		link.removeStream(stream.id)
		return nil, balsamproxy.NotRun(balsamproxy.ReasonPeerUnreachable, err.Error())
	}
	exchange := &exchange{stream: stream, context: ctx}
	if !complete {
		exchange.startBody(call.Body)
	}
	return exchange.awaitResponse(call.Recalled)
}

func remainingTimeout(ctx context.Context, timeout time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return timeout
	}
	return min(timeout, time.Until(deadline))
}

// exchange is a call in progress on the dialling side. It is also the
// io.ReadCloser of the response body.
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
		if errors.Is(err, memory.ErrReleased) {
			// The response has come; a cancellation would cut it off.
			return nil
		}
		if err != nil {
			_ = exchange.stream.link.send(&frame{Stream: exchange.stream.id, Cancel: true})
			exchange.stream.inbound.fail(eris.Wrap(err, "request body"))
			wakeWaiter(exchange.stream)
		}
		return err
	})
}

func wakeWaiter(stream *stream) {
	select {
	case stream.heads <- &frame{}:
	default:
	}
}

// awaitResponse waits for the head of the response or a refusal. If the call is
// recalled meanwhile, the peer decides, since it knows whether the target has it.
func (exchange *exchange) awaitResponse(recalled <-chan struct{}) (*balsamproxy.Response, error) {
	for {
		select {
		case head := <-exchange.stream.heads:
			if head.Answer != nil && balsamproxy.IsFinalStatus(head.Answer.Status) {
				return &balsamproxy.Response{Head: *head.Answer, Body: exchange}, nil
			}
			exchange.finish()
			return nil, exchange.refusal(head)
		case <-exchange.context.Done():
			exchange.finish()
			return nil, contextRefusal(exchange.context)
		case <-recalled:
			recalled = nil
			_ = exchange.stream.link.send(&frame{Stream: exchange.stream.id, Recall: true})
		}
	}
}

func (exchange *exchange) refusal(head *frame) *balsamproxy.Refusal {
	if head.Refusal != nil {
		return head.Refusal
	}
	if head.Answer != nil {
		return balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, "the peer sent an invalid status")
	}
	return balsamproxy.MayHaveRun(balsamproxy.ReasonPeerLost, "the link or the request body broke before an answer came")
}

func contextRefusal(ctx context.Context) *balsamproxy.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return balsamproxy.MayHaveRun(balsamproxy.ReasonDeadline, "no answer in time")
	}
	return balsamproxy.MayHaveRun(balsamproxy.ReasonCancelled, "the caller went away")
}

// Read reads from the response body.
func (exchange *exchange) Read(buffer []byte) (int, error) {
	count, err := exchange.stream.read(exchange.context, buffer)
	if errors.Is(err, io.EOF) {
		exchange.ended.Store(true)
	}
	return count, err
}

// Close ends the exchange. If the response body was not read to its end, the
// peer is told to cancel the call.
func (exchange *exchange) Close() error {
	exchange.finish()
	return nil
}

func (exchange *exchange) finish() {
	if !exchange.ended.Swap(true) {
		_ = exchange.stream.link.send(&frame{Stream: exchange.stream.id, Cancel: true})
	}
	exchange.stream.link.removeStream(exchange.stream.id)
	if exchange.body == nil {
		return
	}
	exchange.cancel()
	exchange.stream.outbound.fail(ErrLinkLost)
}
