package etcd

import (
	"crypto/rand"
	"encoding/hex"
)

// writeToken identifies one write. If its response is lost, reading the value back
// shows whether the write succeeded. The token is stored in hexadecimal as the
// first line of each value.
type writeToken string

const (
	tokenBytes  = 16
	tokenDigits = 2 * tokenBytes
)

func newWriteToken() writeToken {
	random := make([]byte, tokenBytes)
	_, _ = rand.Read(random)
	return writeToken(hex.EncodeToString(random))
}

// encodeValue prepends a token to a value.
func encodeValue(token writeToken, value []byte) []byte {
	stored := make([]byte, 0, tokenDigits+1+len(value))
	stored = append(stored, token...)
	stored = append(stored, '\n')
	return append(stored, value...)
}

// decodeValue splits a stored value into token and value. A value without a token,
// written by another program, is returned unchanged with an empty token.
func decodeValue(stored []byte) (writeToken, []byte) {
	if len(stored) <= tokenDigits || stored[tokenDigits] != '\n' {
		return "", stored
	}
	token := stored[:tokenDigits]
	if _, err := hex.DecodeString(string(token)); err != nil {
		return "", stored
	}
	return writeToken(token), stored[tokenDigits+1:]
}
