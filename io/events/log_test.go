package events_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"balsamproxy/io/events"
)

// TestFloodIsBounded logs one reason 1000 times within a second. Lines above the
// limit are omitted, other reasons are not affected, and the first line of the
// next second reports how many were omitted.
func TestFloodIsBounded(t *testing.T) {
	var output bytes.Buffer
	now := time.Unix(1_000_000, 0)
	log := &events.Log{Logger: zerolog.New(&output), Now: func() time.Time { return now }}
	write := func(reason string) {
		if line := log.Decision("request-refused", reason); line != nil {
			line.Send()
		}
	}
	for range 1000 {
		write("overloaded")
	}
	write("deadline")
	flood := strings.Count(output.String(), "overloaded")
	assert.Assert(t, flood > 0 && flood <= 20, "logged %d lines, want 1 to 20", flood)
	assert.Equal(t, strings.Count(output.String(), "deadline"), 1)
	now = now.Add(time.Second)
	output.Reset()
	write("overloaded")
	var line struct {
		Omitted int `json:"omitted"`
	}
	assert.NilError(t, json.Unmarshal(output.Bytes(), &line))
	assert.Equal(t, line.Omitted, 1000-flood)
}

// blockedOutput is an output that blocks until the channel is closed.
type blockedOutput chan struct{}

func (blockedOutput blockedOutput) Write(line []byte) (int, error) {
	<-blockedOutput
	return len(line), nil
}

// TestBlockedOutputHoldsNothingUp guards against log writes that block requests
// when the output stalls.
func TestBlockedOutputHoldsNothingUp(t *testing.T) {
	var dropped atomic.Int64
	output := make(blockedOutput)
	writer := events.NewWriter(output, func() { dropped.Add(1) })
	const lines = 10_000
	for range lines {
		_, err := writer.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, dropped.Load() > 0 && dropped.Load() < lines)
	close(output)
	assert.NilError(t, writer.Close())
}
