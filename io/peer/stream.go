package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamproxy"
	"balsamproxy/core/memory"
)

// stream is one exchange on a link. It carries a body in each direction, with
// credit-based flow control.
type stream struct {
	id   streamID
	link *link
	// heads receives the first answer, refusal or reply, or an empty frame if
	// the stream failed before one arrived.
	heads chan *frame
	// onCancel is called when the stream fails or the peer cancels it; it may
	// be nil.
	onCancel context.CancelFunc
	// onRecall recalls the call of the stream; nil if the stream carries none that
	// was received.
	onRecall func()

	inbound  inbound
	outbound outbound
}

type inbound struct {
	sync.Mutex
	// chunks are the data of the frames that have not been read, held their length.
	chunks   [][]byte
	held     int
	consumed int
	ended    bool
	err      error
	changed  chan struct{}
}

type outbound struct {
	sync.Mutex
	credit  int
	err     error
	changed chan struct{}
	// lag is how far the peer lags with granting credit.
	lag memory.Lag
}

func newStream(id streamID, link *link) *stream {
	return &stream{
		id:       id,
		link:     link,
		heads:    make(chan *frame, 1),
		inbound:  inbound{changed: make(chan struct{}, 1)},
		outbound: outbound{credit: windowBytes, changed: make(chan struct{}, 1)},
	}
}

func signal(changed chan struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

// fail ends both directions of the stream with an error.
func (stream *stream) fail(err error) {
	stream.inbound.fail(err)
	stream.outbound.fail(err)
	if stream.onCancel != nil {
		stream.onCancel()
	}
	select {
	case stream.heads <- &frame{}:
	default:
	}
}

func (stream *stream) recall() {
	if stream.onRecall != nil {
		stream.onRecall()
	}
}

func (inbound *inbound) fail(err error) {
	inbound.Lock()
	defer inbound.Unlock()
	if !inbound.ended && inbound.err == nil {
		inbound.err = err
	}
	signal(inbound.changed)
}

func (outbound *outbound) fail(err error) {
	outbound.Lock()
	defer outbound.Unlock()
	if outbound.err == nil {
		outbound.err = err
	}
	signal(outbound.changed)
}

// receive takes over the body data of a frame. It never blocks, and fails if the
// peer exceeds its credit.
func (inbound *inbound) receive(data []byte, end bool) error {
	inbound.Lock()
	defer inbound.Unlock()
	if inbound.held+len(data) > windowBytes {
		return eris.Wrap(ErrLinkProtocol, "more data than credit")
	}
	if len(data) > 0 {
		inbound.chunks = append(inbound.chunks, data)
		inbound.held += len(data)
	}
	inbound.ended = inbound.ended || end
	signal(inbound.changed)
	return nil
}

func (outbound *outbound) grant(credit int) {
	outbound.Lock()
	defer outbound.Unlock()
	outbound.credit += credit
	signal(outbound.changed)
}

// read reads from the inbound body and grants credit for what was read. It
// returns io.EOF only after a complete body.
func (stream *stream) read(ctx context.Context, buffer []byte) (int, error) {
	for {
		count, credit, err := stream.inbound.consume(buffer)
		if credit > 0 {
			_ = stream.link.send(&frame{Stream: stream.id, Credit: credit})
		}
		if count > 0 || err != nil {
			return count, err
		}
		select {
		case <-stream.inbound.changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// consume copies buffered data and returns the number of bytes and the credit to
// grant. Credit is granted in steps of at least half a window, to save frames.
func (inbound *inbound) consume(buffer []byte) (int, int, error) {
	inbound.Lock()
	defer inbound.Unlock()
	count := 0
	for count < len(buffer) && len(inbound.chunks) > 0 {
		copied := copy(buffer[count:], inbound.chunks[0])
		count += copied
		inbound.chunks[0] = inbound.chunks[0][copied:]
		if len(inbound.chunks[0]) == 0 {
			inbound.chunks = inbound.chunks[1:]
		}
	}
	inbound.held -= count
	if count == 0 {
		return 0, 0, inbound.errLocked()
	}
	inbound.consumed += count
	if inbound.ended || inbound.consumed < windowBytes/2 {
		return count, 0, nil
	}
	credit := inbound.consumed
	inbound.consumed = 0
	return count, credit, nil
}

func (inbound *inbound) errLocked() error {
	if inbound.ended {
		return io.EOF
	}
	return inbound.err
}

// reserve waits until credit is available and takes at most want bytes of it.
func (outbound *outbound) reserve(ctx context.Context, want int) (int, error) {
	for {
		outbound.Lock()
		granted := min(want, outbound.credit)
		outbound.credit -= granted
		err := outbound.err
		outbound.Unlock()
		if err != nil {
			return 0, err
		}
		if granted > 0 {
			return granted, nil
		}
		if err := outbound.awaitCredit(ctx); err != nil {
			return 0, err
		}
	}
}

// awaitCredit waits until the credit may have changed.
func (outbound *outbound) awaitCredit(ctx context.Context) error {
	outbound.lag.Begin(time.Now())
	defer func() { outbound.lag.End(time.Now(), 0) }()
	select {
	case <-outbound.changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeBody sends a body in chunks as credit allows. An error of the body's
// reader is returned unchanged.
func (stream *stream) writeBody(ctx context.Context, body io.Reader) error {
	buffer := make([]byte, chunkBytes)
	for {
		granted, err := stream.outbound.reserve(ctx, len(buffer))
		if err != nil {
			return err
		}
		count, err := body.Read(buffer[:granted])
		stream.outbound.grant(granted - count)
		stream.outbound.lag.Credit(count)
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return err
		}
		if count == 0 && !ended {
			continue
		}
		chunk := &frame{Stream: stream.id, Data: buffer[:count], End: ended}
		if err := stream.link.send(chunk); err != nil {
			return err
		}
		if ended {
			return nil
		}
	}
}

// readSmallBody reads a body whose known length fits in one chunk, so that it is
// sent in the same frame as the head. It reports whether the body was read;
// otherwise nothing has been consumed.
func readSmallBody(body io.Reader, length int64) ([]byte, bool, error) {
	if length == 0 {
		return nil, true, nil
	}
	if length < 0 || length > chunkBytes {
		return nil, false, nil
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, false, err
	}
	return data, true, nil
}

// bodyReader implements io.Reader for the inbound body of a stream.
type bodyReader struct {
	stream  *stream
	context context.Context
}

func (reader *bodyReader) Read(buffer []byte) (int, error) {
	return reader.stream.read(reader.context, buffer)
}

func (stream *stream) sendRefusal(refusal *balsamproxy.Refusal) {
	_ = stream.link.send(&frame{Stream: stream.id, Refusal: refusal})
}
