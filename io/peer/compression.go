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
	// compressedProtocol is the WebSocket subprotocol of compressed links.
	compressedProtocol = "balsamproxy-deflate"
	// windowMax is the size of the preset dictionary, taken from earlier
	// messages: the maximum that flate.StatelessDeflate supports.
	windowMax = 8 << 10
)

// window is the sliding window over the messages of one direction of a link. It
// is identical on both sides and serves as the preset dictionary of the next
// message.
type window struct {
	data []byte
}

// slide appends a message. Old data is discarded only when the buffer exceeds
// twice the window, so that most messages are appended without moving data.
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

// compressor compresses the messages of one direction of a link. It retains no
// encoder state between messages, to save memory: there are many links, and most
// of them are idle.
type compressor struct {
	window window
	buffer bytes.Buffer
}

// compress compresses a message. The result is valid until the next call.
func (compressor *compressor) compress(message []byte) ([]byte, error) {
	compressor.buffer.Reset()
	if err := flate.StatelessDeflate(&compressor.buffer, message, true, compressor.window.tail()); err != nil {
		return nil, eris.Wrap(ErrLinkProtocol, err.Error())
	}
	compressor.window.slide(message)
	return compressor.buffer.Bytes(), nil
}

// decompressor decompresses the messages of one direction of a link.
type decompressor struct {
	window  window
	readers *readerPool
}

var errMessageTooLong = errors.New("peer: message too long")

// decompress decompresses one message into a buffer, which must be empty.
func (decompressor *decompressor) decompress(compressed io.Reader, message *bytes.Buffer) error {
	reader := decompressor.readers.get(compressed, decompressor.window.tail())
	defer decompressor.readers.put(reader)
	count, err := io.Copy(message, io.LimitReader(reader, messageMax+1))
	if err == nil && count > messageMax {
		err = errMessageTooLong
	}
	if err != nil {
		return eris.Wrap(ErrLinkProtocol, err.Error())
	}
	decompressor.window.slide(message.Bytes())
	return nil
}

// readerPool reuses decoders across messages and links. The zero value is ready to
// use.
type readerPool struct {
	pool sync.Pool
}

func (readers *readerPool) get(source io.Reader, dictionary []byte) io.ReadCloser {
	if reader, ok := readers.pool.Get().(io.ReadCloser); ok {
		if resetter, ok := reader.(flate.Resetter); ok && resetter.Reset(source, dictionary) == nil {
			return reader
		}
	}
	return flate.NewReaderDict(source, dictionary)
}

func (readers *readerPool) put(reader io.ReadCloser) { readers.pool.Put(reader) }
