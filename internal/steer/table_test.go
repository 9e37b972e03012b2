package steer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/examples/deployments"
	"github.com/galenabeam/galenabeam/internal/host"
)

// referenceTable is the table as plain maps that lookups scan completely.
type referenceTable struct {
	local    string
	regions  map[string]Region
	services map[string][]string
	blocks   map[netip.Prefix]string
	hosts    map[host.ID]Host
}

func (n *referenceTable) apply(d Delta) {
	for _, name := range d.RemoveRegions {
		delete(n.regions, name)
	}
	for _, r := range d.SetRegions {
		n.regions[r.Name] = r
	}
	for _, s := range d.SetServices {
		n.services[s.Name] = s.Regions
	}
	for _, p := range d.RemoveBlocks {
		delete(n.blocks, p)
	}
	for _, b := range d.SetBlocks {
		n.blocks[b.Prefix] = b.Region
	}
	for _, id := range d.RemoveHosts {
		delete(n.hosts, id)
	}
	for _, h := range d.SetHosts {
		n.hosts[h.ID] = h
	}
}

func (n *referenceTable) lookup(service string, client netip.Addr, count int) (string, []host.ID) {
	origin, bits := n.local, -1
	for p, r := range n.blocks {
		if p.Contains(client) && p.Bits() > bits {
			origin, bits = r, p.Bits()
		}
	}
	if _, found := n.regions[origin]; !found {
		origin = n.local
	}
	var order []string
	for name := range n.regions {
		order = append(order, name)
	}
	delay := func(name string) time.Duration {
		if name == origin {
			return -1
		}
		if d, found := n.regions[origin].Delays[name]; found {
			return d
		}
		return math.MaxInt64
	}
	slices.SortFunc(order, func(a, b string) int { return cmp.Or(cmp.Compare(delay(a), delay(b)), cmp.Compare(a, b)) })
	for _, name := range order {
		if ids := n.orderedHosts(service, name, client); len(ids) > 0 && slices.Contains(n.services[service], name) {
			return name, ids[:min(count, len(ids))]
		}
	}
	return "", nil
}

// orderedHosts returns the eligible hosts of a region in a caller's order of
// preference. It computes and sorts all scores.
func (n *referenceTable) orderedHosts(service, regionName string, client netip.Addr) []host.ID {
	t := NewTable("x")
	key := callerHash(t.newService(service, nil).hash, client)
	var members []*Host
	for _, h := range n.hosts {
		if h.Region == regionName {
			members = append(members, &h)
		}
	}
	members = slices.DeleteFunc(members, func(h *Host) bool { return h.Leaving })
	headroom := slices.ContainsFunc(members, func(h *Host) bool { return h.Weight > 0 })
	score := func(h *Host) float64 {
		v := float64(mix(key^xxhash.Sum64String(string(h.ID)))>>11) * 0x1p-53
		if !headroom {
			return -math.Log(1 - v)
		}
		return -math.Log(1-v) * (1 / h.Weight)
	}
	members = slices.DeleteFunc(members, func(h *Host) bool { return headroom && h.Weight == 0 })
	slices.SortFunc(members, func(a, b *Host) int { return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.ID, b.ID)) })
	return ids(members)
}

var drawnRegions = []string{"r0", "r1", "r2", "r3"}

func drawPrefix(t *rapid.T) netip.Prefix {
	if rapid.Bool().Draw(t, "ipv6") {
		a := netip.AddrFrom16([16]byte{0x20, 1, rapid.Byte().Draw(t, "v6")})
		return netip.PrefixFrom(a, rapid.IntRange(0, 64).Draw(t, "bits")).Masked()
	}
	a := netip.AddrFrom4([4]byte{10, rapid.ByteMax(3).Draw(t, "b"), rapid.ByteMax(3).Draw(t, "c"), 0})
	return netip.PrefixFrom(a, rapid.IntRange(0, 32).Draw(t, "bits")).Masked()
}

func drawDelta(t *rapid.T) Delta {
	var d Delta
	region := rapid.SampledFrom(drawnRegions)
	for range rapid.IntRange(0, 4).Draw(t, "blocks") {
		d.SetBlocks = append(d.SetBlocks, Block{drawPrefix(t), region.Draw(t, "region")})
	}
	for range rapid.IntRange(0, 2).Draw(t, "removed blocks") {
		d.RemoveBlocks = append(d.RemoveBlocks, drawPrefix(t))
	}
	for range rapid.IntRange(0, 6).Draw(t, "hosts") {
		h := Host{Weight: rapid.SampledFrom([]float64{0, 0.5, 1, 7}).Draw(t, "weight"), Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0}
		h.ID, h.Region = host.ID(fmt.Sprint("h", rapid.IntRange(0, 12).Draw(t, "id"))), region.Draw(t, "host region")
		d.SetHosts = append(d.SetHosts, h)
	}
	for range rapid.IntRange(0, 2).Draw(t, "removed hosts") {
		d.RemoveHosts = append(d.RemoveHosts, host.ID(fmt.Sprint("h", rapid.IntRange(0, 12).Draw(t, "id"))))
	}
	if rapid.IntRange(0, 3).Draw(t, "change regions") == 0 {
		delays := map[string]time.Duration{}
		for _, name := range drawnRegions {
			delays[name] = time.Duration(rapid.IntRange(1, 3).Draw(t, "delay"))
		}
		d.SetRegions = []Region{{region.Draw(t, "set region"), delays}}
		if name := region.Draw(t, "removed region"); name != "r0" && name != d.SetRegions[0].Name {
			d.RemoveRegions = []string{name}
		}
	}
	if rapid.Bool().Draw(t, "change service") {
		d.SetServices = []Service{{"svc", rapid.SliceOfDistinct(region, rapid.ID).Draw(t, "sites")}}
	}
	return d
}

func ids(hosts []*Host) []host.ID {
	var list []host.ID
	for _, h := range hosts {
		list = append(list, h.ID)
	}
	return list
}

// Guards against lookups that differ from a linear scan after any sequence of
// deltas, against leaving hosts in answers, and against an Apply that changes the
// table it was called on.
func TestLookupEqualsLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		table := NewTable("r0")
		reference := &referenceTable{local: "r0", regions: map[string]Region{"r0": {Name: "r0"}}, services: map[string][]string{}, blocks: map[netip.Prefix]string{}, hosts: map[host.ID]Host{}}
		allRegions := Delta{}
		for _, name := range drawnRegions {
			allRegions.SetRegions = append(allRegions.SetRegions, Region{Name: name})
		}
		deltas := append([]Delta{allRegions}, rapid.SliceOfN(rapid.Custom(drawDelta), 1, 8).Draw(t, "deltas")...)
		clients := rapid.SliceOfN(rapid.Custom(drawPrefix), 1, 8).Draw(t, "clients")
		buf := make([]*Host, 3)
		for _, d := range deltas {
			before := table.Lookup("svc", clients[0].Addr(), make([]*Host, 3))
			next, err := table.Apply(d)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(table.Lookup("svc", clients[0].Addr(), buf)).To(Equal(before))
			table = next
			reference.apply(d)
			for _, c := range clients {
				region, want := reference.lookup("svc", c.Addr(), len(buf))
				answer := table.Lookup("svc", c.Addr(), buf)
				g.Expect(answer.Region).To(Equal(region), "client %v", c)
				g.Expect(ids(answer.Hosts)).To(Equal(want), "client %v", c)
				for _, h := range answer.Hosts {
					g.Expect(h.Leaving).To(BeFalse())
				}
			}
		}
	})
}

// oneRegion returns a table of one region with hosts of the given weights.
func oneRegion(t testing.TB, weights ...float64) *Table {
	d := Delta{SetServices: []Service{{"svc", []string{"r"}}}}
	for i, w := range weights {
		h := Host{Weight: w}
		h.ID, h.Region = host.ID(fmt.Sprintf("h%03d", i)), "r"
		d.SetHosts = append(d.SetHosts, h)
	}
	table, err := NewTable("r").Apply(d)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return table
}

func randomCallers(n int) []netip.Addr {
	rng := rand.New(rand.NewPCG(1, 2))
	callers := make([]netip.Addr, n)
	for i := range callers {
		v := rng.Uint32()
		callers[i] = netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
	}
	return callers
}

// Guards against a hash that favors some hosts. With n callers the standard
// deviation of a share p is sqrt(p(1-p)/n); each host's share must lie within five
// of them. Consecutive addresses must spread as well as random ones.
func TestCallersSpreadByWeight(t *testing.T) {
	const n = 100_000
	consecutive := make([]netip.Addr, n)
	for i := range consecutive {
		consecutive[i] = netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	}
	equal := slices.Repeat([]float64{3}, 177)
	for _, c := range []struct {
		desc    string
		weights []float64
		callers []netip.Addr
	}{
		{"eight equal hosts", []float64{1, 1, 1, 1, 1, 1, 1, 1}, randomCallers(n)},
		{"weights", []float64{1, 2, 3, 0.5, 8, 0}, randomCallers(n)},
		{"177 equal hosts, as with 6200 in 35 regions", equal, randomCallers(n)},
		{"consecutive callers", equal, consecutive},
		{"no headroom anywhere", []float64{0, 0, 0, 0}, randomCallers(n)},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			table := oneRegion(t, c.weights...)
			sum := 0.0
			eligible := table.regions[0].eligible
			for _, inverseWeight := range eligible.inverseWeight {
				sum += 1 / inverseWeight
			}
			counts := map[*Host]int{}
			buf := make([]*Host, 2)
			for _, caller := range c.callers {
				counts[table.Lookup("svc", caller, buf).Hosts[0]]++
			}
			for i, h := range eligible.hosts {
				p := 1 / eligible.inverseWeight[i] / sum
				g.Expect(float64(counts[h])/n).To(BeNumerically("~", p, 5*math.Sqrt(p*(1-p)/n)), string(h.ID))
			}
			g.Expect(counts).To(HaveLen(len(eligible.hosts)))
		})
	}
}

// Guards against a change of one host that moves callers between the other hosts.
func TestOnlyCallersOfTheChangedHostMove(t *testing.T) {
	for _, c := range []struct {
		desc   string
		weight float64
		leave  bool
	}{{"host leaves", 1, true}, {"weight falls", 0.4, false}, {"weight rises", 2.5, false}} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			before := oneRegion(t, slices.Repeat([]float64{1}, 24)...)
			changed := Host{Weight: c.weight, Leaving: c.leave}
			changed.ID, changed.Region = "h007", "r"
			after, err := before.Apply(Delta{SetHosts: []Host{changed}})
			g.Expect(err).NotTo(HaveOccurred())
			a, b := make([]*Host, 1), make([]*Host, 1)
			moved := 0
			for _, caller := range randomCallers(20_000) {
				was, is := before.Lookup("svc", caller, a).Hosts[0].ID, after.Lookup("svc", caller, b).Hosts[0].ID
				if was != is {
					moved++
					g.Expect([]host.ID{was, is}).To(ContainElement(host.ID("h007")))
				}
			}
			g.Expect(moved).To(BeNumerically(">", 0))
		})
	}
}

// Guards against invalid entries that enter a table, and against errors that do
// not name the entry.
func TestApplyNamesTheRefusedEntry(t *testing.T) {
	hosts := func(region string, weight float64) []Host {
		x := Host{Weight: weight}
		x.ID, x.Region = "h1", region
		return []Host{x}
	}
	for _, c := range []struct {
		desc  string
		delta Delta
		want  string
	}{
		{"host of unknown region", Delta{SetHosts: hosts("nope", 1)}, `host h1: unknown region "nope"`},
		{"negative weight", Delta{SetHosts: hosts("r", -1)}, "host h1: weight -1"},
		{"infinite weight", Delta{SetHosts: hosts("r", math.Inf(1))}, "host h1: weight +Inf; want 0 to 1e+12"},
		{"weight that is no number", Delta{SetHosts: hosts("r", math.NaN())}, "host h1: weight NaN"},
		{"block of unknown region", Delta{SetBlocks: []Block{{netip.MustParsePrefix("10.0.0.0/8"), "nope"}}}, `client block 10.0.0.0/8: unknown region "nope"`},
		{"invalid block", Delta{SetBlocks: []Block{{netip.Prefix{}, "r"}}}, "want an IPv4 or IPv6 prefix"},
		{"service in unknown region", Delta{SetServices: []Service{{"svc", []string{"nope"}}}}, `service svc: unknown region "nope"`},
	} {
		t.Run(c.desc, func(t *testing.T) {
			_, err := NewTable("r").Apply(c.delta)
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

// Guards against hosts in answers for unknown services and for regions without
// hosts, and against a failure on an invalid address or an oversized buffer.
func TestLookupWithoutHosts(t *testing.T) {
	g := NewWithT(t)
	table := oneRegion(t, 1)
	client := netip.MustParseAddr("::ffff:10.0.0.1")
	g.Expect(table.Lookup("nope", client, make([]*Host, 1))).To(Equal(Answer{Status: StatusNoService}))
	g.Expect(oneRegion(t).Lookup("svc", client, make([]*Host, 1))).To(Equal(Answer{Status: StatusNoHost}))
	g.Expect(table.Lookup("svc", netip.Addr{}, nil).Hosts).To(BeEmpty())
	g.Expect(table.Lookup("svc", client, make([]*Host, 9)).Hosts).To(HaveLen(1))
}

// Guards against changes of a configuration that Changes or ChangesFromDelta
// omits from the delta.
func TestChangesLeadFromOneConfigurationToTheNext(t *testing.T) {
	g := NewWithT(t)
	before, after := deployments.Hagtal(), deployments.Hagtal()
	g.Expect(Changes(before, after)).To(Equal(Delta{}))
	table, err := NewTable("nordur").Apply(Changes(nil, before))
	g.Expect(err).NotTo(HaveOccurred())
	after.ClientBlocks[0].Region = "austur"
	after.ClientBlocks = slices.Delete(after.ClientBlocks, 1, 2)
	after.Services = after.Services[:2]
	after.BackendServers = after.BackendServers[:34]
	d := Changes(before, after)
	g.Expect(ChangesFromDelta(config.MakeDelta(before, after), before, after)).To(Equal(d))
	g.Expect(d.SetBlocks).To(Equal([]Block{{netip.MustParsePrefix("127.0.0.0/16"), "austur"}}))
	g.Expect(d.RemoveBlocks).To(Equal([]netip.Prefix{netip.MustParsePrefix("192.0.2.0/24")}))
	g.Expect(d.RemoveServices).To(Equal([]string{"mottaka"}))
	g.Expect(d.SetServices).To(BeEmpty())
	table, err = table.Apply(d)
	g.Expect(err).NotTo(HaveOccurred())
	region, known := table.RegionOf(netip.MustParseAddr("127.0.0.1"))
	g.Expect(region).To(Equal("austur"))
	g.Expect(known).To(BeTrue())
	_, known = table.RegionOf(netip.MustParseAddr("192.0.2.1"))
	g.Expect(known).To(BeFalse())
	g.Expect(table.Blocks()).To(Equal(len(after.ClientBlocks)))
}
