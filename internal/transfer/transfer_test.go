package transfer

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestMonitor guards against a call that ends although data moves, and against one that a
// silent or very slow peer holds beyond its limits.
func TestMonitor(t *testing.T) {
	limits := Limits{First: 2 * time.Second, Idle: time.Second, Total: 10 * time.Second}
	for _, c := range []struct {
		desc string
		// progress happens at these times from the start of the call, in milliseconds.
		progress []int
		want     error
		wantEnd  time.Duration
	}{
		{"no data", nil, ErrIdle, 2 * time.Second},
		{"first data late", []int{1900}, ErrIdle, 2900 * time.Millisecond},
		{"data, then silence", []int{100, 900, 1800}, ErrIdle, 2800 * time.Millisecond},
		{"data until the total bound", []int{900, 1800, 2700, 3600, 4500, 5400, 6300, 7200, 8100, 9000, 9900}, ErrTooSlow, 10 * time.Second},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				start := time.Now()
				ctx, m := NewMonitor(context.Background(), limits)
				defer m.Stop()
				go func() {
					for _, at := range c.progress {
						time.Sleep(time.Until(start.Add(time.Duration(at) * time.Millisecond)))
						m.Progress()
					}
				}()
				<-ctx.Done()
				g.Expect(Cause(ctx)).To(Equal(c.want))
				g.Expect(FromContext(ctx)).To(BeIdenticalTo(m))
				g.Expect(time.Since(start)).To(Equal(c.wantEnd))
				began := start
				if len(c.progress) > 0 {
					began = start.Add(time.Duration(c.progress[0]) * time.Millisecond)
				}
				g.Expect(m.Began()).To(BeTemporally("==", began))
			})
		})
	}
}

// TestReader guards against data that does not count as progress, and against the end of
// a body that does.
func TestReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, m := NewMonitor(context.Background(), Limits{First: time.Second, Idle: time.Second, Total: time.Minute})
		defer m.Stop()
		r := m.Reader(strings.NewReader("x"))
		time.Sleep(900 * time.Millisecond)
		_, err := r.Read(make([]byte, 1))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(900 * time.Millisecond)
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
		_, err = r.Read(make([]byte, 1))
		g.Expect(err).To(Equal(io.EOF))
		time.Sleep(200 * time.Millisecond)
		g.Expect(Cause(ctx)).To(Equal(ErrIdle))
	})
}

// TestStoppedMonitor guards against a monitor that outlives its call, and against a call
// that outlives its caller's context.
func TestStoppedMonitor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		parent, cancel := context.WithCancel(context.Background())
		ctx, m := NewMonitor(parent, Limits{First: time.Second, Idle: time.Second, Total: time.Minute})
		m.Stop()
		time.Sleep(time.Hour)
		g.Expect(ctx.Err()).To(Equal(context.Canceled))
		g.Expect(Cause(ctx)).NotTo(HaveOccurred())
		ctx, m = NewMonitor(parent, Limits{First: time.Second, Idle: time.Second, Total: time.Minute})
		defer m.Stop()
		cancel()
		g.Expect(ctx.Err()).To(Equal(context.Canceled))
		g.Expect(Cause(ctx)).NotTo(HaveOccurred())
		g.Expect(FromContext(parent)).To(BeNil())
	})
}
