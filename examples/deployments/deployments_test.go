package deployments_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/examples/deployments"
)

// TestDeploymentsHaveTheDesignSizes guards against examples that differ from the
// sizes of section 1.1 of docs/design.md, or fail the checks of a submission, after a
// change of the examples or of package config.
func TestDeploymentsHaveTheDesignSizes(t *testing.T) {
	type pool struct{ servers, slots int }
	for _, c := range []struct {
		desc  string
		c     *config.Config
		pools map[string]pool
		delay time.Duration
		bits  int64
	}{
		{"hagtal", deployments.Hagtal(), map[string]pool{"talnabrunnur": {22, 4}, "yfirlysingar": {12, 4}, "mottaka": {12, 3}}, 55 * time.Millisecond, 4_000_000_000},
		{"tsehay", deployments.Tsehay(), map[string]pool{"phrase-svc": {20, 3}, "pay-svc": {12, 3}, "voice-svc": {12, 3}}, 35 * time.Millisecond, 280_000_000},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(config.Check(c.c)).To(Succeed())
			var text bytes.Buffer
			g.Expect(config.Print(&text, c.c)).To(Succeed())
			g.Expect(config.Parse(text.Bytes())).To(Equal(config.Normalize(c.c)))

			pools := make(map[string]pool)
			domains := make(map[string]map[string]int)
			for _, s := range c.c.BackendServers {
				pools[s.Service] = pool{pools[s.Service].servers + 1, s.Slots}
				if domains[s.Service] == nil {
					domains[s.Service] = make(map[string]int)
				}
				domains[s.Service][s.Region+"/"+s.FailureDomain]++
			}
			g.Expect(pools).To(Equal(c.pools))
			for service, counts := range domains {
				g.Expect(counts).To(HaveLen(6), service)
				for domain, count := range counts {
					g.Expect(count).To(BeNumerically("~", c.pools[service].servers/6, 1), service+" "+domain)
				}
			}
			for _, link := range c.c.Links {
				g.Expect(link.Delay).To(Equal(c.delay))
				g.Expect(link.BitsPerSecond).To(Equal(c.bits))
			}
		})
	}
}
