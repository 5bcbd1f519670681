package peer

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/rotisserie/eris"

	"balsamproxy/task"
)

// writeTimeout bounds one write, in case the peer stops reading.
const writeTimeout = 10 * time.Second

// link is a WebSocket connection to a peer, with the streams open on it.
type link struct {
	conn    *websocket.Conn
	codec   codec
	buffers sync.Pool

	outbox outbox
	// compressor and decompressor are nil if compression was not negotiated.
	compressor   *compressor
	decompressor *decompressor

	mutex   sync.Mutex
	streams map[streamID]*stream
	ended   bool
	done    chan struct{}
}

// outbox queues encoded frames. The writer sends all queued frames as one
// message.
type outbox struct {
	sync.Mutex
	pending []byte
	closed  bool
	wake    chan struct{}
}

func newLink(conn *websocket.Conn, readers *readerPool) *link {
	conn.SetReadLimit(messageMax)
	link := &link{
		conn:    conn,
		codec:   newCodec(),
		buffers: sync.Pool{New: func() any { return &bytes.Buffer{} }},
		outbox:  outbox{wake: make(chan struct{}, 1)},
		streams: map[streamID]*stream{},
		done:    make(chan struct{}),
	}
	if conn.Subprotocol() == compressedProtocol {
		link.compressor = &compressor{}
		link.decompressor = &decompressor{readers: readers}
	}
	return link
}

// send queues a frame. It returns an error, and the frame is not sent, if the
// link has ended or its outbox is full.
func (link *link) send(frame *frame) error {
	buffer, _ := link.buffers.Get().(*bytes.Buffer)
	defer link.buffers.Put(buffer)
	buffer.Reset()
	if err := link.codec.encode(frame, buffer); err != nil {
		return eris.Wrap(ErrLinkProtocol, err.Error())
	}
	return link.outbox.add(buffer.Bytes())
}

func (outbox *outbox) add(data []byte) error {
	outbox.Lock()
	defer outbox.Unlock()
	if outbox.closed {
		return ErrLinkLost
	}
	if len(outbox.pending)+len(data) > pendingMax {
		return ErrLinkOverrun
	}
	outbox.pending = append(outbox.pending, data...)
	select {
	case outbox.wake <- struct{}{}:
	default:
	}
	return nil
}

// drain returns all queued bytes and installs spare as the next buffer.
func (outbox *outbox) drain(spare []byte) []byte {
	outbox.Lock()
	defer outbox.Unlock()
	pending := outbox.pending
	outbox.pending = spare[:0]
	return pending
}

func (outbox *outbox) close() {
	outbox.Lock()
	defer outbox.Unlock()
	outbox.closed = true
}

// run reads and writes until the link ends, passing each received frame to
// receive. It returns the reason why the link ended.
func (link *link) run(ctx context.Context, receive func(*frame) error) error {
	ctx, cancel := context.WithCancel(ctx)
	written := task.Start(ctx, link.writeLoop)
	stop := context.AfterFunc(ctx, func() { _ = link.conn.Close() })
	err := link.readLoop(receive)
	cancel()
	stop()
	_ = link.conn.Close()
	<-written //nolint:errcheck // the read error says why the link ended
	link.end()
	return err
}

func (link *link) writeLoop(ctx context.Context) error {
	var spare []byte
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-link.outbox.wake:
		}
		pending := link.outbox.drain(spare)
		spare = pending
		if len(pending) == 0 {
			continue
		}
		if err := link.writeMessage(pending); err != nil {
			_ = link.conn.Close()
			return err
		}
	}
}

func (link *link) writeMessage(message []byte) error {
	if link.compressor != nil {
		compressed, err := link.compressor.compress(message)
		if err != nil {
			return err
		}
		message = compressed
	}
	_ = link.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := link.conn.WriteMessage(websocket.BinaryMessage, message); err != nil {
		return eris.Wrap(ErrLinkLost, err.Error())
	}
	return nil
}

func (link *link) readLoop(receive func(*frame) error) error {
	var buffer bytes.Buffer
	for {
		_, reader, err := link.conn.NextReader()
		if err != nil {
			return eris.Wrap(ErrLinkLost, err.Error())
		}
		buffer.Reset()
		if err := link.readMessage(reader, &buffer); err != nil {
			return err
		}
		if err := link.receiveFrames(buffer.Bytes(), receive); err != nil {
			return err
		}
	}
}

func (link *link) readMessage(reader io.Reader, message *bytes.Buffer) error {
	if link.decompressor != nil {
		return link.decompressor.decompress(reader, message)
	}
	if _, err := io.Copy(message, reader); err != nil {
		return eris.Wrap(ErrLinkLost, err.Error())
	}
	return nil
}

func (link *link) receiveFrames(data []byte, receive func(*frame) error) error {
	for len(data) > 0 {
		decoded, rest, err := link.codec.decode(data)
		if err != nil {
			return eris.Wrap(ErrLinkProtocol, err.Error())
		}
		if err := receive(&decoded); err != nil {
			return err
		}
		data = rest
	}
	return nil
}

// end fails all open streams and rejects new ones.
func (link *link) end() {
	link.outbox.close()
	link.mutex.Lock()
	link.ended = true
	streams := link.streams
	link.streams = map[streamID]*stream{}
	link.mutex.Unlock()
	close(link.done)
	for _, stream := range streams {
		stream.fail(ErrLinkLost)
	}
}

// addStream registers a stream. It returns false if the link has ended or the id
// is in use.
func (link *link) addStream(stream *stream) bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.ended || link.streams[stream.id] != nil {
		return false
	}
	link.streams[stream.id] = stream
	return true
}

func (link *link) findStream(id streamID) *stream {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.streams[id]
}

func (link *link) removeStream(id streamID) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	delete(link.streams, id)
}

// recallStreams recalls the calls that were received over the link.
func (link *link) recallStreams() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	for _, stream := range link.streams {
		stream.recall()
	}
}

func (link *link) streamCount() int {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return len(link.streams)
}
