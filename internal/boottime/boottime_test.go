package boottime

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestNow guards against a clock that stands still or runs backwards.
func TestNow(t *testing.T) {
	g := NewWithT(t)
	first := Now()
	g.Expect(first).To(BeNumerically(">", 0))
	for range 1000 {
		next := Now()
		g.Expect(next).To(BeNumerically(">=", first))
		first = next
	}
}
