package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// TestBound guards against a flood of lines that fills the output, against lines
// that are dropped without a word, and against successes that crowd out failures.
func TestBound(t *testing.T) {
	g := NewWithT(t)
	out := &buffer{}
	s := New(out)
	for range 5000 {
		_, _ = s.Routine().Write([]byte("ok\n"))
	}
	_, _ = s.Write([]byte("failure\n"))
	s.Close()
	text := out.b.String()
	g.Expect(strings.Count(text, "ok\n")).To(BeNumerically("<=", burstLines+routinePerSecond))
	g.Expect(text).To(ContainSubstring("failure\n"))
	g.Expect(text).To(ContainSubstring("log lines dropped"))
}

// stuck is an output that takes nothing.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) { <-s.release; return len(p), nil }

// TestNeverBlocks guards against requests that wait for the output of the log.
func TestNeverBlocks(t *testing.T) {
	release := make(chan struct{})
	s := New(stuck{release})
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
		t.Error("a write waits for the output")
	}
	close(release)
	s.Close()
}
