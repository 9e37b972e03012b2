package daemon

import (
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/internal/fake/backend"
)

// TestManySubmissions guards against a deployment that accepts no further configuration
// because nothing removes ended submissions from the list of pending ones, which holds
// 64.
func TestManySubmissions(t *testing.T) {
	r := newTestRegion(t, 1, backend.Behavior{Slots: 4, ServiceTime: time.Millisecond})
	for revision := 2; revision <= 70; revision++ {
		r.submit(revision)
	}
}
