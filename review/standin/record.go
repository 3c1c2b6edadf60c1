package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, a line each.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// addf writes a line with the seconds since the start.
func (record *record) addf(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.writer, "%8.3f  ", time.Since(record.started).Seconds())
	_, _ = fmt.Fprintf(record.writer, format+"\n", arguments...)
}

// sayf writes a line to the record and to standard output.
func (record *record) sayf(format string, arguments ...any) {
	fmt.Printf(format+"\n", arguments...)
	record.addf(format, arguments...)
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.writer.Flush()
	_ = record.file.Close()
}
