// Package events bounds the log lines that decisions on requests cause, so
// that a flood of refusals neither fills the log nor slows a request.
package events

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// linesPerSecond bounds the lines of one event and reason.
	linesPerSecond = 20
	// bufferLines is how many lines may wait for the output.
	bufferLines = 4096
)

// Log writes lines on decisions. Its exported fields must be set.
type Log struct {
	Logger zerolog.Logger
	Now    func() time.Time

	mutex  sync.Mutex
	counts map[string]*second
}

// second counts the lines of one event and reason in one second.
type second struct {
	at      int64
	lines   int
	omitted int
}

// Decision begins a line on an event with its reason. It returns nil if there
// were too many of them in this second; the next line says how many were left
// out.
func (log *Log) Decision(event, reason string) *zerolog.Event {
	omitted, allowed := log.count(event + "/" + reason)
	if !allowed {
		return nil
	}
	line := log.Logger.Info().Str("event", event).Str("reason", reason)
	if omitted > 0 {
		line = line.Int("omitted", omitted)
	}
	return line
}

func (log *Log) count(name string) (int, bool) {
	now := log.Now().Unix()
	log.mutex.Lock()
	defer log.mutex.Unlock()
	held, found := log.counts[name]
	if !found {
		if log.counts == nil {
			log.counts = map[string]*second{}
		}
		held = &second{}
		log.counts[name] = held
	}
	if held.at != now {
		held.at = now
		held.lines = 0
	}
	if held.lines >= linesPerSecond {
		held.omitted++
		return 0, false
	}
	held.lines++
	omitted := held.omitted
	held.omitted = 0
	return omitted, true
}

// Writer is an output that never blocks: lines that find its buffer full are
// dropped and counted.
type Writer struct {
	lines   chan []byte
	ended   chan struct{}
	dropped func()
}

// NewWriter returns a writer to an output. Dropped is called for each line
// that is lost.
func NewWriter(output io.Writer, dropped func()) *Writer {
	writer := &Writer{lines: make(chan []byte, bufferLines), ended: make(chan struct{}), dropped: dropped}
	go func() {
		defer close(writer.ended)
		for line := range writer.lines {
			_, _ = output.Write(line) // There is nowhere left to tell.
		}
	}()
	return writer
}

// Write queues one line.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped()
	}
	return len(line), nil
}

// Close writes what is queued and ends the writer.
func (writer *Writer) Close() error {
	close(writer.lines)
	<-writer.ended
	return nil
}
