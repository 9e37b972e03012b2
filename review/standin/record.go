package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is record.txt of a case: a line for each thing that was sent, answered or run.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{f: f, start: time.Now()}, nil
}

// Linef writes a line that starts with the seconds since the start of the case.
func (r *Record) Linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

// Sayf writes a line to the file and to standard output.
func (r *Record) Sayf(format string, args ...any) {
	r.Linef(format, args...)
	fmt.Printf(format+"\n", args...)
}
