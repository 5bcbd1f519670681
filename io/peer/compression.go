package peer

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
	"github.com/rotisserie/eris"
)

const (
	// compressedProtocol is the WebSocket subprotocol of links whose messages
	// are compressed.
	compressedProtocol = "balsamproxy-deflate"
	// windowMax is how many bytes of earlier messages each message is
	// compressed against: the most that the stateless encoder takes.
	windowMax = 8 << 10
)

// window is the end of what one direction of a link has carried. Both sides
// hold the same, so that a message need not repeat what earlier ones said.
type window struct {
	data []byte
}

// slide adds a message. The data is cut at twice the size, so that most
// messages are only appended.
func (window *window) slide(message []byte) {
	if len(message) >= windowMax {
		window.data = append(window.data[:0], message[len(message)-windowMax:]...)
		return
	}
	if len(window.data)+len(message) > 2*windowMax {
		kept := copy(window.data, window.tail())
		window.data = window.data[:kept]
	}
	window.data = append(window.data, message...)
}

func (window *window) tail() []byte {
	return window.data[max(0, len(window.data)-windowMax):]
}

// compressor compresses the messages of one direction of a link. It keeps no
// encoder between messages: a fleet has many links, most of them quiet.
type compressor struct {
	window window
	buffer bytes.Buffer
}

// compress returns a message in compressed form, valid until the next call.
func (compressor *compressor) compress(message []byte) ([]byte, error) {
	compressor.buffer.Reset()
	if err := flate.StatelessDeflate(&compressor.buffer, message, true, compressor.window.tail()); err != nil {
		return nil, eris.Wrap(ErrLinkProtocol, err.Error())
	}
	compressor.window.slide(message)
	return compressor.buffer.Bytes(), nil
}

// decompressor reads the messages of one direction of a link.
type decompressor struct {
	window  window
	readers *readerPool
}

var errMessageLong = errors.New("peer: message too long")

// decompress appends a message in plain form to a buffer.
func (decompressor *decompressor) decompress(compressed io.Reader, message *bytes.Buffer) error {
	reader := decompressor.readers.take(compressed, decompressor.window.tail())
	defer decompressor.readers.put(reader)
	count, err := io.Copy(message, io.LimitReader(reader, messageMax+1))
	if err == nil && count > messageMax {
		err = errMessageLong
	}
	if err != nil {
		return eris.Wrap(ErrLinkProtocol, err.Error())
	}
	decompressor.window.slide(message.Bytes())
	return nil
}

// readerPool keeps decoders between messages. Its zero value works.
type readerPool struct {
	pool sync.Pool
}

func (readers *readerPool) take(source io.Reader, dictionary []byte) io.ReadCloser {
	if reader, ok := readers.pool.Get().(io.ReadCloser); ok {
		if resetter, ok := reader.(flate.Resetter); ok && resetter.Reset(source, dictionary) == nil {
			return reader
		}
	}
	return flate.NewReaderDict(source, dictionary)
}

func (readers *readerPool) put(reader io.ReadCloser) { readers.pool.Put(reader) }
