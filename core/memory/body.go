package memory

import (
	"errors"
	"io"
	"sync"
)

// ErrReleased is returned to a reader of a body that has been released because the
// response to its request has come.
var ErrReleased = errors.New("memory: the body has been released")

const pieceBytes = 32 << 10

// firstPieces are the sizes of the first pieces of a body. They add up to SmallBytes,
// so that small bodies use little more memory than they are long. All further pieces
// have pieceBytes.
var firstPieces = [...]int{4 << 10, 12 << 10, 16 << 10, 32 << 10}

// pieces holds released pieces of pieceBytes for reuse, which saves garbage.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// Body is the body of a request. It is written by one goroutine with Space, Grow and
// Extend, and may then be read by any number of readers. A nil Body is empty.
type Body struct {
	budget *Budget

	// mutex keeps a reader from a piece that is released.
	mutex    sync.Mutex
	pieces   [][]byte
	length   int64
	held     int64
	charged  int64
	released bool
}

// NewBody returns an empty body that takes its memory from the budget.
func (budget *Budget) NewBody() *Body { return &Body{budget: budget} }

// Len returns the length of the body.
func (body *Body) Len() int64 {
	if body == nil {
		return 0
	}
	return body.length
}

// Held returns the memory of the body in bytes.
func (body *Body) Held() int64 {
	if body == nil {
		return 0
	}
	body.mutex.Lock()
	defer body.mutex.Unlock()
	if body.released {
		return 0
	}
	return body.held + body.charged
}

// Space returns the unused rest of the last piece, which may be empty.
func (body *Body) Space() []byte {
	if len(body.pieces) == 0 {
		return nil
	}
	return body.pieces[len(body.pieces)-1][body.length-body.lastStart():]
}

// lastStart returns the offset of the last piece in the body.
func (body *Body) lastStart() int64 {
	return body.held - int64(len(body.pieces[len(body.pieces)-1]))
}

// Extend adds the first bytes of Space to the body.
func (body *Body) Extend(count int) { body.length += int64(count) }

// Charge takes bytes from the budget that are held elsewhere until the body is released.
// It may be called once, and reports whether the budget had memory for them.
func (body *Body) Charge(bytes int64) bool {
	if !body.budget.growRequest(0, bytes) {
		return false
	}
	body.mutex.Lock()
	defer body.mutex.Unlock()
	body.charged = bytes
	return true
}

// Grow adds a piece. It reports whether the budget had memory for it.
func (body *Body) Grow() bool {
	size := pieceBytes
	if len(body.pieces) < len(firstPieces) {
		size = firstPieces[len(body.pieces)]
	}
	if !body.budget.growRequest(body.held, int64(size)) {
		return false
	}
	body.mutex.Lock()
	defer body.mutex.Unlock()
	body.pieces = append(body.pieces, newPiece(size))
	body.held += int64(size)
	return true
}

func newPiece(size int) []byte {
	if size == pieceBytes {
		if piece, ok := pieces.Get().(*[pieceBytes]byte); ok {
			return piece[:]
		}
	}
	return make([]byte, size)
}

// Release returns the memory of the body to the budget. Readers fail afterwards.
func (body *Body) Release() {
	if body == nil {
		return
	}
	body.mutex.Lock()
	defer body.mutex.Unlock()
	if body.released {
		return
	}
	body.released = true
	for _, piece := range body.pieces {
		if len(piece) == pieceBytes {
			pieces.Put((*[pieceBytes]byte)(piece))
		}
	}
	body.pieces = nil
	body.budget.releaseRequest(body.held)
	body.budget.releaseRequest(body.charged)
}

// NewReader returns a reader of the whole body.
func (body *Body) NewReader() io.Reader { return &bodyReader{body: body} }

// bodyReader reads a body without copying it as a whole.
type bodyReader struct {
	body *Body
	// piece and offset are the position in the body, position is its distance from
	// the beginning.
	piece, offset int
	position      int64
}

// Read fails with ErrReleased once the body has been released.
func (reader *bodyReader) Read(buffer []byte) (int, error) {
	body := reader.body
	if body == nil {
		return 0, io.EOF
	}
	body.mutex.Lock()
	defer body.mutex.Unlock()
	if reader.position == body.length {
		return 0, io.EOF
	}
	if body.released {
		return 0, ErrReleased
	}
	piece := body.pieces[reader.piece]
	count := copy(buffer[:min(int64(len(buffer)), body.length-reader.position)], piece[reader.offset:])
	reader.position += int64(count)
	reader.offset += count
	if reader.offset == len(piece) {
		reader.piece++
		reader.offset = 0
	}
	return count, nil
}
