package peer

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// messages returns messages of the given lengths that share content, generated
// from a fixed seed.
func messages(lengths ...int) [][]byte {
	random := rand.New(rand.NewPCG(20261204, 1)) //nolint:gosec // deterministic test data
	common := make([]byte, windowMax)
	for index := range common {
		common[index] = byte(random.Uint32())
	}
	made := make([][]byte, 0, len(lengths))
	for _, length := range lengths {
		message := make([]byte, length)
		for index := range message {
			message[index] = common[(index+length)%len(common)]
		}
		made = append(made, message)
	}
	return made
}

func TestCompression(t *testing.T) {
	cases := map[string][][]byte{
		"empty":                    messages(0, 1, 0),
		"short and repeated":       messages(300, 300, 300, 299),
		"longer than the window":   messages(windowMax+1, 100, 3*windowMax, 100),
		"window that slides often": messages(5000, 5000, 5000, 5000, 5000, 5000),
		"as long as the window":    messages(windowMax, windowMax-1, windowMax),
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			compressor := &compressor{}
			decompressor := &decompressor{readers: &readerPool{}}
			for _, message := range sent {
				compressed, err := compressor.compress(message)
				assert.NilError(t, err)
				var received bytes.Buffer
				assert.NilError(t, decompressor.decompress(bytes.NewReader(compressed), &received))
				assert.Assert(t, bytes.Equal(received.Bytes(), message), "%d bytes", len(message))
			}
		})
	}
}

// TestRepeatedMessagesShrink checks that a message with the content of an earlier
// one compresses to less than a tenth of its size.
func TestRepeatedMessagesShrink(t *testing.T) {
	compressor := &compressor{}
	message := messages(600)[0]
	_, err := compressor.compress(message)
	assert.NilError(t, err)
	again, err := compressor.compress(message)
	assert.NilError(t, err)
	assert.Assert(t, len(again) < len(message)/10, "%d of %d bytes", len(again), len(message))
}

func TestCorruptMessageFails(t *testing.T) {
	decompressor := &decompressor{readers: &readerPool{}}
	var received bytes.Buffer
	err := decompressor.decompress(bytes.NewReader([]byte{0xff, 0xff, 0xff}), &received)
	assert.ErrorIs(t, err, ErrLinkProtocol)
}
