package confsync

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// configText returns a text of n server sections; section changed%n has an
// additional line.
func configText(n, changed int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[server %06d]\naddress = 10.0.%d.%d:8080\nslots = 4\n", i, i/250, i%250)
		if i == changed%n {
			fmt.Fprintf(&b, "note = change %d\n", changed)
		}
	}
	return []byte(b.String())
}

func newRequest(op string, base Revision, txt []byte) Request {
	return Request{Base: base, Text: txt, Audit: Audit{Operation: op, Who: "abebe", When: time.Unix(1000, 0).UTC(), Why: "test"}}
}

// Guards against a text of more than 1 MB that is split wrongly, a head that small
// changes make large, garbage in the store, and hosts that do not converge.
func TestSubmissionReachesAllHosts(t *testing.T) {
	g := NewWithT(t)
	s := newSim(1, 3, 8)
	s.runUntil(3 * time.Second)
	g.Expect(s.nodes[0].r.Status().Reason).To(Equal("the store has no configuration"))
	const lines = 30000
	s.submit(0, newRequest("op-1", 0, configText(lines, 7)), nil)
	s.runUntil(6 * time.Second)
	g.Expect(s.verdictsByOp["op-1"][0].Verdict).To(Equal(Accepted))
	g.Expect(len(s.heads[1].Parts)).To(BeNumerically(">", 2))
	s.runUntil(12 * time.Second)
	g.Expect(s.converged()).To(BeTrue(), "%v", s.processesAt)
	for i := range 5 {
		s.submit(1, newRequest(fmt.Sprintf("op-%d", i+2), Revision(i+1), configText(lines, 1000*i)), nil)
		s.runUntil(s.now + 4*time.Second)
		g.Expect(s.converged()).To(BeTrue(), "%v", s.processesAt)
	}
	g.Expect(len(mustEncode(s.heads[6]))).To(BeNumerically("<", 8000))
	s.checkVerdicts()
	g.Expect(s.violations).To(BeEmpty())
	g.Expect(s.unreferencedKeys()).To(BeEmpty())
}

// unreferencedKeys returns the keys in the store that no head references.
func (s *sim) unreferencedKeys() []string {
	head, _ := DecodeHead(s.store.now(HeadKey).Value)
	need := map[string]bool{HeadKey: true, pendingKey: true}
	for r, h := range s.heads {
		if r != head.Revision {
			need[HistoryKey(r)] = true
		}
		for _, p := range h.DeltaParts {
			need[p.Key] = true
		}
	}
	for _, p := range head.Parts {
		need[p.Key] = true
	}
	var out []string
	for key := range s.store.versions {
		if s.store.now(key).Value != nil && !need[key] {
			out = append(out, key)
		}
	}
	return out
}

// Guards against deltas that do not produce the text or that are much larger than
// the change.
func TestDeltaProducesText(t *testing.T) {
	line := rapid.SampledFrom([]string{"a", "b\n", "[section]\n", "\n", "key = value that is longer than a copy\n", "slots = 4\n", "é\n"})
	txt := rapid.Custom(func(t *rapid.T) []byte {
		return []byte(strings.Join(rapid.SliceOfN(line, 0, 30).Draw(t, "lines"), ""))
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := txt.Draw(t, "a"), txt.Draw(t, "b")
		d, ok := Diff(a, b)
		if !ok {
			t.Fatal("no delta")
		}
		got, err := d.Apply(a, ChecksumOf(b))
		if err != nil || string(got) != string(b) {
			t.Fatalf("%q to %q by %+v gives %q, %v", a, b, d, got, err)
		}
	})
	g := NewWithT(t)
	d, _ := Diff(configText(5000, 10), configText(5000, 4000))
	g.Expect(d.size()).To(BeNumerically("<", 500))
}

// Guards, under store and network faults, crashes and restarts, against a process
// that applies an older revision or a wrong text, more than one accepted
// submission per base, wrong verdicts, and hosts that do not converge.
func TestHostsConvergeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Int64().Draw(t, "seed"), 3, rapid.IntRange(2, 8).Draw(t, "hosts"))
		s.lossShare = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		s.lateShare = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late")
		s.store.lost = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "lost")
		s.store.staleReadShare = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "past")
		ops := 0
		bases := map[int]Revision{}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				// One to three operators submit on the same base and repeat an
				// uncertain submission.
				base := Revision(len(s.heads))
				for i := range rapid.IntRange(1, 3).Draw(t, "operators") {
					ops++
					bases[ops] = base
					req := newRequest(fmt.Sprintf("op-%d", ops), base, configText(50, ops))
					s.submit(i, req, func(d Submitted) {
						if d.Verdict == Uncertain {
							s.submit(i, req, nil)
						}
						if d.Verdict == Accepted && d.Head != nil {
							s.feed(s.regions[i][1], Committed{*d.Head, req.Text})
						}
					})
				}
			},
			"repeat": func(t *rapid.T) {
				if ops > 0 {
					op := rapid.IntRange(1, ops).Draw(t, "op")
					base := bases[op]
					for _, h := range s.heads {
						// An accepted operation may be repeated on any base.
						if h.Operation == fmt.Sprintf("op-%d", op) {
							base = Revision(rapid.IntRange(0, len(s.heads)).Draw(t, "base"))
						}
					}
					s.submit(0, newRequest(fmt.Sprintf("op-%d", op), base, configText(50, op)), nil)
				}
			},
			"store down": func(*rapid.T) { s.store.down = !s.store.down },
			"store slow": func(t *rapid.T) {
				s.store.delay = rapid.SampledFrom([]time.Duration{4 * time.Millisecond, 6 * time.Second}).Draw(t, "delay")
			},
			"restart": func(t *rapid.T) { s.start(s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "host")]) },
			"move watcher": func(t *rapid.T) {
				n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "host")]
				for _, o := range s.regions[n.region] {
					o.watcher = o == n
					s.feed(o, SetWatcher{o.watcher})
				}
			},
			"crash": func(t *rapid.T) { s.stop(s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "host")]) },
			"run": func(t *rapid.T) {
				s.runUntil(s.now + time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms"))*time.Millisecond)
			},
			"": func(t *rapid.T) {
				s.checkVerdicts()
				if len(s.violations) > 0 {
					t.Fatalf("%v", s.violations)
				}
			},
		})
		s.lossShare, s.lateShare = 0, 0
		s.store.down, s.store.lost, s.store.staleReadShare, s.store.delay = false, 0, 0, 4*time.Millisecond
		for _, n := range s.nodes {
			if n.r == nil && n.watcher {
				s.start(n)
			}
		}
		s.runUntil(s.now + 60*time.Second)
		s.checkVerdicts()
		if len(s.violations) > 0 || len(s.heads) > 0 && !s.converged() {
			t.Fatalf("violations %v, processes by revision %v of %d revisions", s.violations, s.processesAt, len(s.heads))
		}
	})
}

// Guards against a host that starts with an old revision, reports a revision from
// peers as confirmed by the store, or is ready with neither store nor peers.
func TestBootstrap(t *testing.T) {
	for _, tc := range []struct {
		desc                       string
		down, noPeers              bool
		staleReadShare             float64
		wantReady, wantUnconfirmed bool
	}{
		{desc: "store and peers", wantReady: true},
		{desc: "store returns stale reads", staleReadShare: 1, wantReady: true},
		{desc: "peers only", down: true, wantReady: true, wantUnconfirmed: true},
		{desc: "store only", noPeers: true, wantReady: true},
		{desc: "neither", down: true, noPeers: true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := newSim(5, 1, 4)
			for i := range 3 {
				s.submit(0, newRequest(fmt.Sprintf("op-%d", i), Revision(i), configText(50, i)), nil)
				s.runUntil(s.now + 10*time.Second)
			}
			s.store.down, s.store.staleReadShare = tc.down, tc.staleReadShare
			if tc.noPeers {
				for _, n := range s.nodes {
					s.stop(n)
				}
			}
			n := s.nodes[2]
			s.start(n)
			s.runUntil(s.now + 5*time.Second)
			st := n.r.Status()
			g.Expect(st.Ready).To(Equal(tc.wantReady))
			g.Expect(st.Unconfirmed).To(Equal(tc.wantUnconfirmed))
			if tc.wantReady {
				g.Expect(st.Revision).To(BeEquivalentTo(3))
			} else {
				g.Expect(st.Reason).To(ContainSubstring("neither the store nor a peer"))
			}
			s.store.down, s.store.staleReadShare = false, 0
			s.runUntil(s.now + 70*time.Second)
			st = n.r.Status()
			g.Expect(st.Ready).To(BeTrue())
			g.Expect(st.Unconfirmed).To(BeFalse())
			g.Expect(s.violations).To(BeEmpty())
		})
	}
}
