package config_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/config"
)

// sample returns a small configuration that passes Check.
func sample() *config.Config {
	regions := config.Regions([]string{"d1", "d2"}, time.Millisecond, 2*time.Millisecond, "east", "west")
	return &config.Config{
		Deployment: "sample",
		Regions:    regions,
		Links:      config.Mesh(regions, 50*time.Millisecond, 1_000_000_000),
		Ranks: []config.Rank{
			{Name: "lookup", Order: 1, Target: 250 * time.Millisecond, Deadline: time.Second, Worth: 100, Floor: 0.5, Idempotent: true, Hedge: true},
			{Name: "bulk", Order: 2, Target: 30 * time.Second, Deadline: time.Minute, Worth: 1, Floor: 0.5},
		},
		Services: []config.Service{{Name: "svc", Team: "team-a", ServiceTime: 10 * time.Millisecond, MaxRequestBytes: 1 << 20,
			AnswerBytes: 1024, RetryShare: 0.1, EjectShare: 0.2, Warmup: time.Minute}},
		BackendServers: config.SpreadServers("svc", regions, 4, 3, 100, netip.MustParseAddrPort("127.1.0.1:9000")),
		Customers:      []config.Customer{{Name: "acme", Weight: 2}},
		ShiftCaps:      config.UniformCaps(regions, 10, 1_000_000, 5),
		ClientBlocks:   append(config.Blocks("east", "10.0.0.0/8", "2001:db8::/32"), config.Blocks("west", "10.1.0.0/16")...),
		Drains:         []config.Drain{{Kind: config.DrainFailureDomain, Target: "west/d2", Reason: "power \"work\""}},
	}
}

// printed returns the text that Print writes for c.
func printed(t testing.TB, c *config.Config) string {
	t.Helper()
	var b bytes.Buffer
	NewWithT(t).Expect(config.Print(&b, c)).To(Succeed())
	return b.String()
}

// drawConfig generates a configuration that Print accepts: its values are in range,
// but references to other items may be unknown.
func drawConfig(t *rapid.T) *config.Config {
	name := rapid.StringMatching(`[a-z0-9-]{1,12}`)
	names := func(label string) []string { return rapid.SliceOfNDistinct(name, 1, 4, rapid.ID).Draw(t, label) }
	duration := func(label string) time.Duration {
		return time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(config.MaxDelay)).Draw(t, label))
	}
	share := func(label string) float64 { return rapid.Float64Range(0, 1).Draw(t, label) }
	c := &config.Config{Deployment: name.Draw(t, "deployment")}
	for _, n := range names("regions") {
		c.Regions = append(c.Regions, config.Region{Name: n, FailureDomains: names("domains"), DomainDelay: duration("domain"), ClientDelay: duration("client")})
	}
	for i, n := range names("ranks") {
		c.Ranks = append(c.Ranks, config.Rank{Name: n, Order: i + 1, Target: duration("target"), Deadline: duration("deadline"),
			Worth: share("worth"), Floor: share("floor"), Idempotent: rapid.Bool().Draw(t, "idempotent"), Hedge: rapid.Bool().Draw(t, "hedge")})
	}
	for _, n := range names("services") {
		c.Services = append(c.Services, config.Service{Name: n, Team: n, ServiceTime: duration("service time"),
			MaxRequestBytes: rapid.Int64Range(0, config.MaxBytes).Draw(t, "bytes"), RetryShare: share("retry"), EjectShare: share("eject")})
	}
	for _, n := range names("servers") {
		addr := netip.AddrFrom4([4]byte{127, rapid.Byte().Draw(t, "a"), 0, 1})
		c.BackendServers = append(c.BackendServers, config.BackendServer{Name: n, Service: n, Region: n, FailureDomain: n,
			Address: netip.AddrPortFrom(addr, rapid.Uint16Min(1).Draw(t, "port")).String(), Slots: 1, Connections: 7})
	}
	for _, n := range names("pairs") {
		c.Links = append(c.Links, config.Link{From: n, To: "x", Delay: duration("link"), BitsPerSecond: 1})
		c.ShiftCaps = append(c.ShiftCaps, config.ShiftCap{From: n, To: "x", Concurrent: 3, GrowthPerSecond: share("growth")})
		c.Customers = append(c.Customers, config.Customer{Name: n, Weight: rapid.IntRange(1, 1000).Draw(t, "weight")})
		c.Drains = append(c.Drains, config.Drain{Kind: config.DrainRegion, Target: n, Reason: rapid.StringN(0, 60, 256).Draw(t, "reason")})
	}
	for _, v := range rapid.SliceOfDistinct(rapid.Uint32(), rapid.ID).Draw(t, "blocks") {
		addr := netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
		c.ClientBlocks = append(c.ClientBlocks, config.ClientBlock{Prefix: netip.PrefixFrom(addr, 32).String(), Region: "x"})
	}
	return c
}

// Guards against a field that Print and Parse treat differently, so that a printed
// configuration is read as another one.
func TestParseReadsWhatPrintWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		g := NewWithT(t)
		var first, second bytes.Buffer
		g.Expect(config.Print(&first, c)).To(Succeed())
		parsed, err := config.Parse(first.Bytes())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(parsed).To(Equal(config.Normalize(c)))
		g.Expect(config.Print(&second, parsed)).To(Succeed())
		g.Expect(second.String()).To(Equal(first.String()))
		g.Expect(config.Diff(c, parsed)).To(BeEmpty())
	})
}

// Guards against invalid texts that Parse accepts, or refuses with a message that
// does not name the section, key or line.
func TestParseNamesTheProblem(t *testing.T) {
	for _, c := range []struct{ desc, old, new, want string }{
		{"unknown section", "[rank bulk]", "[rnk bulk]", `[rnk bulk] unknown section; want one of deployment, region`},
		{"unknown key", "retry-share =", "retry-shar =", `[service svc] retry-shar = 0.1: unknown key; want one of team`},
		{"missing key", "weight = 2\n", "", `[customer acme] key weight is missing; want a whole number from 1 to 1000`},
		{"duplicate key", "weight = 2\n", "weight = 2\nweight = 3\n", `[customer acme] weight = 2: duplicate key`},
		{"duplicate section", "[rank bulk]", "[rank lookup]", `[rank lookup] duplicate section; the first one is on line`},
		{"duplicate block", "10.1.0.0/16 =", "10.0.0.0/8 =", `10.0.0.0/8 = east: duplicate key`},
		{"no number", "weight = 2", "weight = two", `weight = two: want a whole number from 1 to 1000`},
		{"out of range", "weight = 2", "weight = 1001", `weight = 1001: want a whole number from 1 to 1000`},
		{"number too large for its type", "weight = 2", "weight = 99999999999999999999", `want a whole number from 1 to 1000`},
		{"not a number", "floor = 0.5", "floor = NaN", `floor = NaN: want a number from 0 to 1`},
		{"bad duration", "target = 250ms", "target = 250", `line 24: [rank lookup] target = 250: want a duration from 1ms to 1h0m0s`},
		{"bad bool", "hedge = true", "hedge = yes", `hedge = yes: want true or false`},
		{"host bits", "10.1.0.0/16", "10.1.0.1/16", `prefix = 10.1.0.1/16: want a CIDR prefix`},
		{"key without value", "weight = 2", "weight", `"weight" is no line of the form key = value`},
		{"open header", "[rank bulk]", "[rank bulk", `is no section header`},
		{"header without name", "[rank bulk]", "[rank]", `[rank] want a section header [rank NAME]`},
		{"text before the first section", "[deployment]", "name = x\n[deployment]", `line 1: "name = x" stands before the first section`},
		{"value over several lines", "name = sample", "name = \"\"\"sam\nple\"\"\"", `quotation mark`},
		{"control character", "name = sample", "name = sam\x00ple", `line 2: [deployment] line contains control characters`},
		{"long line", "name = sample", "name = " + strings.Repeat("x", config.MaxLineBytes), `want at most 8192`},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			valid := printed(t, sample())
			g.Expect(valid).To(ContainSubstring(c.old))
			_, err := config.Parse([]byte(strings.Replace(valid, c.old, c.new, 1)))
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
			var problems *config.Problems
			g.Expect(errors.As(err, &problems)).To(BeTrue())
		})
	}
}

// Guards against invalid or contradictory configurations that Check accepts, or
// refuses with a message that does not name the item.
func TestCheckNamesTheItem(t *testing.T) {
	for _, c := range []struct {
		desc   string
		change func(*config.Config)
		want   string
	}{
		{"no deployment", func(c *config.Config) { c.Deployment = "" }, "[deployment] name = : want 1 to 63"},
		{"no customer", func(c *config.Config) { c.Customers = nil }, "want at least one section [customer NAME]"},
		{"bad name", func(c *config.Config) { c.Services[0].Name = "Svc" }, "[service Svc] name = Svc: want 1 to 63"},
		{"duplicate name", func(c *config.Config) { c.BackendServers[1].Name = "svc-1" }, "[backend-server svc-1] duplicate name"},
		{"duplicate address", func(c *config.Config) { c.BackendServers[1].Address = c.BackendServers[0].Address }, "backend server svc-1 has it too"},
		{"host name as address", func(c *config.Config) { c.BackendServers[0].Address = "host:80" }, "address = host:80: want IP:port"},
		{"unknown service", func(c *config.Config) { c.BackendServers[0].Service = "nope" }, "[backend-server svc-1] service = nope: unknown service"},
		{"unknown region", func(c *config.Config) { c.BackendServers[0].Region = "nope" }, "[backend-server svc-1] region = nope: unknown region"},
		{"unknown domain", func(c *config.Config) { c.BackendServers[0].FailureDomain = "d9" }, "failure-domain = d9: unknown failure domain of region east"},
		{"duplicate domain", func(c *config.Config) { c.Regions[0].FailureDomains = []string{"d1", "d1"} }, "[region east] failure-domains = d1: duplicate"},
		{"order gap", func(c *config.Config) { c.Ranks[1].Order = 3 }, "[rank bulk] order = 3: want 2"},
		{"floors above 1", func(c *config.Config) { c.Ranks[0].Floor = 0.6 }, "[rank] floor = 1.1: want a sum"},
		{"hedge of non-idempotent work", func(c *config.Config) { c.Ranks[0].Idempotent = false }, "[rank lookup] hedge = true: want false"},
		{"deadline before target", func(c *config.Config) { c.Ranks[0].Deadline = time.Millisecond }, "[rank lookup] deadline = 1ms: want at least the target, 250ms"},
		{"missing cap", func(c *config.Config) { c.ShiftCaps = c.ShiftCaps[1:] }, "[shift-cap east west] missing"},
		{"cap above link", func(c *config.Config) { c.ShiftCaps[0].BytesPerSecond = 125_000_001 }, "want at most 125000000, the capacity of the link"},
		{"cap without link", func(c *config.Config) { c.Links = c.Links[1:] }, "[shift-cap east west] no [link east west]"},
		{"link to unknown region", func(c *config.Config) { c.Links[0].To = "nope" }, "[link east nope] to = nope: unknown region"},
		{"link to itself", func(c *config.Config) { c.Links[0].To = "east" }, "[link east east] to = east: want another region"},
		{"duplicate block", func(c *config.Config) { c.ClientBlocks[0] = c.ClientBlocks[1] }, "[client-blocks 2001:db8::/32] duplicate name"},
		{"mapped block", func(c *config.Config) { c.ClientBlocks[0].Prefix = "::ffff:10.0.0.0/104" }, "not IPv4 mapped into IPv6"},
		{"block of unknown region", func(c *config.Config) { c.ClientBlocks[0].Region = "nope" }, "[client-blocks 10.0.0.0/8] region = nope: unknown region"},
		{"drain of unknown server", func(c *config.Config) { c.Drains[0] = config.Drain{Kind: config.DrainBackendServer, Target: "nope"} }, "unknown backend server"},
		{"drain of unknown domain", func(c *config.Config) { c.Drains[0].Target = "west/d9" }, "unknown failure domain"},
		{"drain of unknown kind", func(c *config.Config) { c.Drains[0].Kind = "host" }, "kind = host: want backend-server"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			changed := sample()
			g.Expect(config.Check(changed)).To(Succeed())
			c.change(changed)
			g.Expect(config.Check(changed)).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

// Guards against a Check that stops at the first problem, or whose report grows
// with the number of problems.
func TestCheckReportsAllProblems(t *testing.T) {
	g := NewWithT(t)
	c := sample()
	c.Deployment, c.Customers[0].Weight = "", 0
	g.Expect(config.Check(c)).To(MatchError(And(ContainSubstring("weight = 0"), ContainSubstring("[deployment]"))))
	for i := range 500 {
		c.Customers = append(c.Customers, config.Customer{Name: fmt.Sprint(i)})
	}
	g.Expect(config.Check(c)).To(MatchError(ContainSubstring("and 402 more")))
}

// Guards against changes that Diff omits or attributes to another item or key.
func TestDiffListsChanges(t *testing.T) {
	g := NewWithT(t)
	a, b := sample(), sample()
	b.Services[0].RetryShare = 0.2
	b.Customers = append(b.Customers, config.Customer{Name: "zeta", Weight: 1})
	b.Drains = nil
	b.ClientBlocks[2].Region = "east"
	var lines []string
	for _, change := range config.Diff(a, b) {
		lines = append(lines, change.String())
	}
	g.Expect(lines).To(Equal([]string{
		"~ [service svc] retry-share: 0.1 -> 0.2",
		"+ [customer zeta]",
		"- [drain failure-domain west/d2]",
		"~ [client-blocks 10.1.0.0/16] region: west -> east",
	}))
}

// Guards against a Print that writes names which Parse would read as other text,
// for example a name with a bracket and a line feed.
func TestPrintRefusesWhatParseRefuses(t *testing.T) {
	c := sample()
	c.Services[0].Name = "a]\n[b"
	NewWithT(t).Expect(config.Print(&bytes.Buffer{}, c)).To(MatchError(ContainSubstring("name = a]")))
}

// Guards against panics of Parse and Check, and against accepted texts whose
// configuration is another one after Print and Parse.
func FuzzParse(f *testing.F) {
	f.Add([]byte(printed(f, sample())))
	f.Add([]byte("[client-blocks]\n10.0.0.0/8 = a\n- = b\n"))
	f.Add([]byte("[drain region x]\nreason = \"\\x00\"\n[deployment]\nname=`"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := config.Parse(data)
		if err != nil {
			return
		}
		reparsed, err := config.Parse([]byte(printed(t, c)))
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reparsed).To(Equal(c))
		_ = config.Check(c)
	})
}
