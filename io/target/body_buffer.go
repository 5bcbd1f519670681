package target

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"balsamproxy/core/memory"
	"balsamproxy/io/eviction"
)

const (
	// firstChunkBytes and bodyChunkBytes are the sizes of the pieces in which a
	// body is buffered. The first one has been charged with the call, so small
	// bodies never lack memory.
	firstChunkBytes = 4 << 10
	bodyChunkBytes  = 32 << 10
)

var errBodyTooLong = errors.New("target: the body exceeds the memory for bodies")

// bodyBuffer holds a complete body. Closing it returns its memory to the budget.
type bodyBuffer struct {
	io.Reader
	length int64
	budget *memory.Budget
	held   int64
	once   sync.Once
}

// readBody reads a body to its end. The length is -1 if it is not known. An
// error means that the body did not end properly or exceeds the budget.
func readBody(body io.Reader, length int64, budget *memory.Budget) (*bodyBuffer, error) {
	buffer := &bodyBuffer{budget: budget}
	size := int64(firstChunkBytes)
	if length >= 0 && length < bodyChunkBytes {
		size = length + 1
	}
	var chunks []io.Reader
	for {
		chunk := make([]byte, size)
		count, err := fill(body, chunk)
		buffer.length += int64(count)
		chunks = append(chunks, bytes.NewReader(chunk[:count]))
		if errors.Is(err, io.EOF) {
			buffer.Reader = io.MultiReader(chunks...)
			return buffer, nil
		}
		size = bodyChunkBytes
		if err == nil && !growBody(budget, buffer.held, size) {
			err = errBodyTooLong
		}
		if err != nil {
			_ = buffer.Close()
			return nil, err
		}
		buffer.held += size
	}
}

// growBody takes more bytes for a body that has held bytes, if need be from bodies that
// are read too slowly. A body that the budget never has room for takes nothing from others.
func growBody(budget *memory.Budget, held, more int64) bool {
	return eviction.ReclaimForResponse(budget, func() memory.Shortage {
		if budget.Grow(held, more) || !budget.Attainable(held, more) {
			return memory.NoShortage
		}
		return memory.ShortOfBodies
	}) && budget.Attainable(held, more)
}

// fill reads until the chunk is full. Unlike io.ReadFull it returns the error of
// the reader, which tells the end of a body from a body that was cut off.
func fill(reader io.Reader, chunk []byte) (int, error) {
	count := 0
	for count < len(chunk) {
		more, err := reader.Read(chunk[count:])
		count += more
		if err != nil {
			return count, err
		}
	}
	return count, nil
}

// Held returns the memory taken from the budget, in bytes.
func (buffer *bodyBuffer) Held() int64 { return buffer.held }

// Close returns the memory to the budget.
func (buffer *bodyBuffer) Close() error {
	buffer.once.Do(func() { buffer.budget.Release(buffer.held) })
	return nil
}
