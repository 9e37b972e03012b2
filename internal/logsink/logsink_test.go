package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// buffer is a bytes.Buffer that is safe for concurrent writes.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// TestVolumeLimit guards against a flood of lines that fills the output, against
// lines that are dropped without a report, and against lines about successes that
// use up the limit of failures.
func TestVolumeLimit(t *testing.T) {
	g := NewWithT(t)
	out := &buffer{}
	s := New(out)
	for range 5000 {
		_, _ = s.Routine().Write([]byte("ok\n"))
	}
	_, _ = s.Write([]byte("failure\n"))
	s.Close()
	text := out.b.String()
	g.Expect(strings.Count(text, "ok\n")).To(BeNumerically("<=", burstLines+routineLinesPerSecond))
	g.Expect(text).To(ContainSubstring("failure\n"))
	g.Expect(text).To(ContainSubstring("log lines dropped"))
}

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) { <-w.release; return len(p), nil }

// TestNeverBlocks guards against requests that wait for a blocked log output. The rate
// limit drops most lines, so that the queue does not fill.
func TestNeverBlocks(t *testing.T) {
	release := make(chan struct{})
	s := New(blockedWriter{release})
	done := make(chan struct{})
	go func() {
		for range 3 * queueLines {
			_, _ = s.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("Write blocks while the output is blocked")
	}
	close(release)
	s.Close()
}
