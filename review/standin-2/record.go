package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run. Times are in seconds since its start.
type record struct {
	start time.Time
	mu    sync.Mutex
	text  strings.Builder
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) add(format string, args ...any) {
	at := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "%9.3f  %s\n", at.Seconds(), fmt.Sprintf(format, args...))
}

// say is add for lines that are also printed.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) writeTo(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(r.text.String()), 0o644)
}
