package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run. It is safe for
// concurrent use.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(directory string) (*record, error) {
	file, err := os.Create(filepath.Join(directory, "record.txt"))
	return &record{file: file, start: time.Now()}, err
}

// add writes one line with the seconds since the start of the case.
func (record *record) add(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, values...))
}

// note writes one line and prints it.
func (record *record) note(format string, values ...any) {
	record.add(format, values...)
	fmt.Printf("%8.3f %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, values...))
}
