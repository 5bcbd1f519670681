// Package events rate-limits the log lines written for decisions on requests,
// so that a burst of rejections neither floods the log nor delays requests.
package events

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxLinesPerSecond bounds the lines logged per second for one event and
	// reason.
	maxLinesPerSecond = 20
	// bufferLines is the number of lines that Writer queues for its output.
	bufferLines = 4096
)

// Log logs decisions on requests. Its exported fields must be set. It is safe
// for concurrent use.
type Log struct {
	Logger zerolog.Logger
	Now    func() time.Time

	mutex   sync.Mutex
	windows map[string]*window
}

// window counts the lines of one event and reason in the second that began at
// start, in Unix time. It carries the number of omitted lines over to the next
// window.
type window struct {
	start   int64
	lines   int
	omitted int
}

// Decision starts a log line for an event with its reason. It returns nil if
// the limit for this second has been reached; the next line that is logged
// reports the number of omitted lines.
func (log *Log) Decision(event, reason string) *zerolog.Event {
	omitted, allowed := log.admit(event + "/" + reason)
	if !allowed {
		return nil
	}
	line := log.Logger.Info().Str("event", event).Str("reason", reason)
	if omitted > 0 {
		line = line.Int("omitted", omitted)
	}
	return line
}

func (log *Log) admit(name string) (int, bool) {
	now := log.Now().Unix()
	log.mutex.Lock()
	defer log.mutex.Unlock()
	current, found := log.windows[name]
	if !found {
		if log.windows == nil {
			log.windows = map[string]*window{}
		}
		current = &window{}
		log.windows[name] = current
	}
	if current.start != now {
		current.start = now
		current.lines = 0
	}
	if current.lines >= maxLinesPerSecond {
		current.omitted++
		return 0, false
	}
	current.lines++
	omitted := current.omitted
	current.omitted = 0
	return omitted, true
}

// Writer is an asynchronous io.Writer that never blocks: lines are dropped while
// its buffer is full.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped func()
}

// NewWriter returns a Writer that writes to output in the background. It calls
// dropped for each line that it drops.
func NewWriter(output io.Writer, dropped func()) *Writer {
	writer := &Writer{lines: make(chan []byte, bufferLines), done: make(chan struct{}), dropped: dropped}
	go func() {
		defer close(writer.done)
		for line := range writer.lines {
			_, _ = output.Write(line) // A failure of the log output cannot be logged.
		}
	}()
	return writer
}

// Write queues a copy of one line. It never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped()
	}
	return len(line), nil
}

// Close flushes the queued lines and stops the background goroutine. Write must
// not be called afterwards.
func (writer *Writer) Close() error {
	close(writer.lines)
	<-writer.done
	return nil
}
