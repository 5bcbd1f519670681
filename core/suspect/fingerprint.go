package suspect

import (
	"crypto/sha256"
	"io"
	"strconv"
	"sync"

	"balsamproxy"
)

const copyBufferBytes = 4 << 10

// Fingerprint identifies requests of one client account with the same
// contents.
type Fingerprint [16]byte

// buffers holds buffers of copyBufferBytes. Most requests need one.
var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// FingerprintOf returns the fingerprint of a call and its body, or the
// beginning of a long body.
func FingerprintOf(head balsamproxy.CallHead, body io.Reader) Fingerprint {
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	text := buffer[:0]
	for index, field := range []string{string(head.Account), string(head.Service), head.Method, head.Path} {
		if index > 0 {
			text = append(text, ' ')
		}
		text = strconv.AppendQuote(text, field)
	}
	digest := sha256.New()
	_, _ = digest.Write(append(text, '\n'))
	for {
		count, err := body.Read(buffer[:])
		_, _ = digest.Write(buffer[:count])
		if err != nil {
			break
		}
	}
	return Fingerprint(digest.Sum(buffer[:0])[:len(Fingerprint{})])
}
