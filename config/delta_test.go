package config_test

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/config"
)

// Guards against a delta that, after printing and parsing, does not turn the base
// into the submitted configuration, or whose application modifies the base.
func TestAppliedDeltaEqualsSubmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		a, b := config.Normalize(drawConfig(t)), drawConfig(t)
		if rapid.Bool().Draw(t, "small change") {
			c := *a
			b = &c
			b.Customers = append([]config.Customer{{Name: "added", Weight: 1}}, b.Customers[1:]...)
			b.Ranks = append([]config.Rank{}, b.Ranks...)
			b.Ranks[0].Order, b.Ranks[len(b.Ranks)-1].Order = b.Ranks[len(b.Ranks)-1].Order, b.Ranks[0].Order
		}
		before := config.Normalize(a)
		var text bytes.Buffer
		g.Expect(config.PrintDelta(&text, config.MakeDelta(a, b))).To(Succeed())
		d, err := config.ParseDelta(text.Bytes())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(config.ApplyDelta(a, d)).To(Equal(config.Normalize(b)))
		g.Expect(a).To(Equal(before))
	})
}

// Guards against applying a delta that was made for another base or names no item,
// against a Parse that accepts removals, and a ParseDelta that accepts unknown keys.
func TestInvalidDeltaIsRefused(t *testing.T) {
	for _, c := range []struct{ desc, text, want string }{
		{"absent item", "[remove customer nobody]", "delta removes [customer nobody], which the base does not have"},
		{"absent block", "[remove client-blocks 192.0.2.0/24]", "delta removes [client-blocks 192.0.2.0/24], which"},
		{"unknown kind", "[remove nothing x]", "delta removes [nothing x], which is of an unknown kind"},
		{"no kind", "[remove]", "delta removes [], which is of an unknown kind"},
		{"too few names", "[remove link east]", "delta removes [link east]; want [remove link FROM TO]"},
		{"bad name", "[remove customer A]", "delta removes [customer A]; want 1 to 63"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			d, err := config.ParseDelta([]byte(c.text))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = config.ApplyDelta(config.Normalize(sample()), d)
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
	g := NewWithT(t)
	_, err := config.Parse([]byte("[remove customer acme]"))
	g.Expect(err).To(MatchError(ContainSubstring("unknown section")))
	_, err = config.ParseDelta([]byte("[customer acme]\nweigt = 1\n"))
	g.Expect(err).To(MatchError(ContainSubstring("weigt = 1: unknown key")))
}

// Guards against panics of ParseDelta, ApplyDelta and Check on malformed deltas.
func FuzzApplyDelta(f *testing.F) {
	f.Add([]byte("[remove customer acme]\n[customer b]\nweight = 1\n[client-blocks]\n10.9.0.0/16 = east\n"))
	f.Add([]byte("[remove deployment]\n[remove rank bulk]\n[remove client-blocks x]\n"))
	base := config.Normalize(sample())
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := config.ParseDelta(text)
		if err != nil {
			return
		}
		if next, err := config.ApplyDelta(base, d); err == nil {
			_ = config.Check(next)
		}
	})
}

// largeConfig returns the sample with the given number of client blocks.
func largeConfig(blocks int) *config.Config {
	c := sample()
	c.ClientBlocks = make([]config.ClientBlock, blocks)
	for i := range c.ClientBlocks {
		c.ClientBlocks[i] = config.ClientBlock{Prefix: fmt.Sprintf("%d.%d.%d.0/24", 11+i>>16, i>>8&255, i&255), Region: "east"}
	}
	return c
}

// BenchmarkSize measures the time and memory of each operation, and the size of the
// text, for up to 1.6 million client blocks: the design size (section 1.5).
func BenchmarkSize(b *testing.B) {
	for _, blocks := range []int{100_000, 400_000, 1_600_000} {
		c := config.Normalize(largeConfig(blocks))
		changed := *c
		changed.Services = append([]config.Service{}, c.Services...)
		changed.Services[0].RetryShare = 0.2
		serviceDelta := config.MakeDelta(c, &changed)
		blockDelta := config.Delta{Set: &config.Config{ClientBlocks: config.Blocks("west", "11.0.1.0/24")}}
		var text bytes.Buffer
		if err := config.Print(&text, c); err != nil {
			b.Fatal(err)
		}
		for _, op := range []struct {
			name string
			run  func() error
		}{
			{"print", func() error { return config.Print(&bytes.Buffer{}, c) }},
			{"parse", func() error { _, err := config.Parse(text.Bytes()); return err }},
			{"check", func() error { return config.Check(c) }},
			{"delta", func() error { config.MakeDelta(c, &changed); return nil }},
			{"applyService", func() error { _, err := config.ApplyDelta(c, serviceDelta); return err }},
			{"applyBlock", func() error { _, err := config.ApplyDelta(c, blockDelta); return err }},
		} {
			b.Run(fmt.Sprintf("%s/%d", op.name, blocks), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := op.run(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(text.Len()), "text_bytes")
			})
		}
	}
}
