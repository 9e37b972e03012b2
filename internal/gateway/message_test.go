package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRetryAfterRoundsUp guards against callers that are told to return just before they
// can be served, and are then refused a second time.
func TestRetryAfterRoundsUp(t *testing.T) {
	g := NewWithT(t)
	for d, want := range map[time.Duration]string{
		0: "0.000", time.Nanosecond: "0.001", time.Millisecond: "0.001",
		time.Millisecond + 400*time.Microsecond: "0.002", 2 * time.Second: "2.000",
	} {
		g.Expect(formatRetryAfter(d)).To(Equal(want), d.String())
	}
}
