package dispatch

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// backends returns servers of region r with four slots each.
func backends(n int) []*fleet.Backend {
	var list []*fleet.Backend
	for i := range n {
		list = append(list, backend(fmt.Sprint("b", i), "r"))
	}
	return list
}

// tightRequest has the same objective and deadline, of 2.5 s, and an object that no
// server holds.
func tightRequest(now time.Duration) Request {
	r := request(now, fmt.Sprint("k", now))
	r.Objective, r.Deadline = now+2500*ms, now+2500*ms
	return r
}

// numberedRequest is a tightRequest with an object of its own.
func numberedRequest(now time.Duration, i int) Request {
	r := tightRequest(now)
	r.Key = fmt.Sprint("n", i)
	return r
}

// TestUnknownClassIsServed guards against a class whose requests are all refused as late
// because nothing is observed, and nothing is observed because all are refused. Load: 230
// requests a second that take 1.6 s, at 80 idle servers of four slots after a start;
// objective and timeout are 2.5 s.
func TestUnknownClassIsServed(t *testing.T) {
	for _, c := range []struct {
		desc string
		key  func(i int) string
	}{
		{"a new object each", func(i int) string { return fmt.Sprint("k", i) }},
		{"500 objects", func(i int) string { return fmt.Sprint("k", i%500) }},
		{"no objects", func(int) string { return "" }},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			late, served, total, all := startUnknownClass(c.key)
			g.Expect(late).To(BeZero())
			g.Expect(float64(served)).To(BeNumerically(">=", 0.95*float64(total)))
			g.Expect(all).To(BeNumerically(">", 800), "of the 1,200 that the slots can take")
		})
	}
}

// startUnknownClass plays the load of TestUnknownClassIsServed for 6 s. It returns the
// requests refused as late, those of the first second that were served in time and their
// total, and all granted ones.
func startUnknownClass(key func(i int) string) (late, served, total, granted int) {
	const serviceTime, interval = 1600 * ms, time.Second / 230
	p := pool("r", backends(80)...)
	slots := map[string]*modelServer{}
	for _, s := range p.list {
		slots[s.id] = &modelServer{slotFreeAt: make([]time.Duration, s.slots), objects: map[string]bool{}}
	}
	var completions completionHeap
	for i := range 6 * 230 {
		now := time.Duration(i) * interval
		for len(completions) > 0 && completions[0].at <= now {
			e := heap.Pop(&completions).(modelCompletion)
			p.Release(e.at, e.grant, e.report)
		}
		first := now < time.Second
		if first {
			total++
		}
		r := tightRequest(now)
		r.Key = key(i)
		d := p.Acquire(now, r)
		if d.Refused == Late {
			late++
		}
		if d.Refused != "" {
			continue
		}
		end := slots[d.Server].serve(now, "", serviceTime, serviceTime)
		heap.Push(&completions, modelCompletion{end, d.Grant, Report{Result: Served, Elapsed: end - now + defaultLocalRoundTrip}})
		granted++
		if first && end <= r.Objective {
			served++
		}
	}
	return late, served, total, granted
}

// TestTrialsAreBounded guards against a class without an observed time that takes all
// slots of the service, or that keeps many of them after its requests have timed out.
// Load: 100 requests at once to 10 servers of four slots, none of which is answered.
func TestTrialsAreBounded(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backends(10)...)
	var grants []uint64
	send := func(now time.Duration, i int) Decision {
		r := tightRequest(now)
		r.Key = fmt.Sprint("k", i)
		return p.Acquire(now, r)
	}
	for i := range 100 {
		if d := send(0, i); d.Refused == "" {
			grants = append(grants, d.Grant)
		} else {
			g.Expect(d.Refused).To(Equal(Overload))
		}
	}
	g.Expect(grants).To(HaveLen(32), "0.8 of 40 slots")
	known := request(0, "")
	known.Class = "known"
	g.Expect(p.Acquire(0, known).Refused).To(BeEmpty())
	end := 2500 * ms
	for _, id := range grants {
		p.Release(end, id, Report{Result: TimedOut, Elapsed: end})
	}
	g.Expect(p.trialsInFlight).To(BeZero())
	granted := 0
	for i := range 100 {
		if d := send(end, 100+i); d.Refused == "" {
			granted++
		} else {
			g.Expect(d.Refused).To(Equal(Late))
		}
	}
	g.Expect(granted).To(Equal(1))
	g.Expect(p.Dump(end)["b0"].Down).To(BeFalse(), "trials that time out do not mark servers down")
}

// TestOldEstimateIsTried guards against a class that is refused for good because of an
// estimate that no request can confirm, and against unbounded trials. Load: 100 requests
// a second of a class that took 4 s in a disturbance and now takes 400 ms again.
func TestOldEstimateIsTried(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backends(4)...)
	var first [confirmedSamples]Decision
	for i := range first {
		first[i] = p.Acquire(0, numberedRequest(0, i))
	}
	for _, d := range first {
		p.Release(4*time.Second, d.Grant, Report{Result: Served, Elapsed: 4 * time.Second})
	}
	const fresh = 4*time.Second + estimateMaxAge
	for now := 4 * time.Second; now < fresh; now += 10 * ms {
		g.Expect(p.Acquire(now, tightRequest(now)).Refused).To(Equal(Late), "at %v", now)
	}
	var trial uint64
	trials := 0
	for now := fresh; now < fresh+400*ms; now += 10 * ms {
		if d := p.Acquire(now, tightRequest(now)); d.Refused == "" {
			trials, trial = trials+1, d.Grant
		}
	}
	g.Expect(trials).To(Equal(1))
	p.Release(fresh+400*ms, trial, Report{Result: Served, Elapsed: 400 * ms})
	d := p.Acquire(fresh+500*ms, tightRequest(fresh+500*ms))
	g.Expect(d.Refused).To(BeEmpty())
	g.Expect(d.Service).To(BeNumerically("<=", 400*ms))
}

// TestNoTrialBeforeEnd guards against a request that is tried by a host which ends before
// its deadline and would cut the answer.
func TestNoTrialBeforeEnd(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backends(4)...)
	for now := time.Duration(0); now < 3*time.Second; now += 100 * ms {
		r := tightRequest(now)
		r.Deadline, r.NoTrial = now+2*time.Second, true
		g.Expect(p.Acquire(now, r).Refused).To(Equal(Late))
	}
}

// TestShortRequestsAreTriedAtTheLowRate guards against a class that is never served
// because its timeout is far below its objective, whatever the configuration says, and
// against a burst of requests that have no time left, as before a shutdown.
func TestShortRequestsAreTriedAtTheLowRate(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backends(4)...)
	var grantedAt []time.Duration
	for now := time.Duration(0); now < 3500*ms; now += 100 * ms {
		r := request(now, "k")
		r.Deadline = now + 100*ms
		if d := p.Acquire(now, r); d.Refused == "" {
			grantedAt = append(grantedAt, now)
			p.Release(now+90*ms, d.Grant, Report{Result: TimedOut, Elapsed: 90 * ms})
		}
	}
	g.Expect(grantedAt).To(Equal([]time.Duration{time.Second, 2 * time.Second, 3 * time.Second}))
}

// TestObservedTimeReplacesAssumption guards against a service time that is observed with
// the object, or without it, and is then limited by the assumption about the other.
func TestObservedTimeReplacesAssumption(t *testing.T) {
	for _, c := range []struct {
		desc               string
		hit, miss          time.Duration // 0: not observed
		wantHit, wantMiss  time.Duration
		assumedByObjective time.Duration
	}{
		{"only hits, long", 3 * time.Second, 0, 3 * time.Second, 3 * time.Second, 500 * ms},
		{"only hits, short", 50 * ms, 0, 50 * ms, 500 * ms, 500 * ms},
		{"only misses, short", 0, 50 * ms, 50 * ms, 50 * ms, 500 * ms},
		{"only misses, long", 0, 3 * time.Second, 175 * ms, 3 * time.Second, 500 * ms},
		{"both, in the wrong order", 300 * ms, 100 * ms, 100 * ms, 300 * ms, 500 * ms},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := pool("r", backend("a", "r"))
			class := p.class("c", c.assumedByObjective)
			s := p.servers["a"]
			if c.hit > 0 {
				class.observeServiceTime(&grant{unqueued: true, heldObject: true, server: s}, s, c.hit, timeFactor{})
			}
			if c.miss > 0 {
				class.observeServiceTime(&grant{unqueued: true, server: s}, s, c.miss, timeFactor{})
			}
			g.Expect(class.hitTime()).To(Equal(c.wantHit))
			g.Expect(class.missTime()).To(Equal(c.wantMiss))
		})
	}
}

// TestAdoptedTimes guards against a host that starts with assumptions each time that it
// changes between its shared and its fallback pool, and against old times that replace
// newer ones.
func TestAdoptedTimes(t *testing.T) {
	g := NewWithT(t)
	from, to := pool("r", backend("a", "r")), pool("r", backend("a", "r"))
	observe := func(p *Pool, at, elapsed time.Duration) {
		d := p.Acquire(at, tightRequest(at))
		p.Release(at+elapsed, d.Grant, Report{Result: Served, Elapsed: elapsed + defaultLocalRoundTrip})
	}
	observe(from, 0, time.Second)
	to.AdoptTimes(from, "c")
	g.Expect(to.classes["c"].missTime()).To(Equal(time.Second))
	observe(to, time.Second, 500*ms)
	own := to.classes["c"].missTime()
	g.Expect(own).To(BeNumerically("<", time.Second))
	to.AdoptTimes(from, "c")
	g.Expect(to.classes["c"].missTime()).To(Equal(own))
	observe(from, 10*time.Second, time.Second)
	to.AdoptTimes(from, "c")
	g.Expect(to.classes["c"].missTime()).To(Equal(time.Second))
}

// TestTrialsOfOneClassDoNotStarveAnother guards against a class that is never tried because
// the trials of another class, which all fail, fill the bound on all trials.
func TestTrialsOfOneClassDoNotStarveAnother(t *testing.T) {
	for _, c := range []struct {
		desc     string
		timeouts int // of the starved class
	}{
		{"its trials timed out", 6},
		{"its first requests", 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := pool("r", backends(10)...)
			p.class("starved", 0).trials.timeouts = c.timeouts
			var failing completionHeap
			for now := time.Duration(0); now < 10*time.Second; now += 5 * ms {
				for len(failing) > 0 && failing[0].at <= now {
					e := heap.Pop(&failing).(modelCompletion)
					p.Release(e.at, e.grant, e.report)
				}
				r := tightRequest(now)
				r.Class = "failing"
				if d := p.Acquire(now, r); d.Refused == "" {
					heap.Push(&failing, modelCompletion{now + 500*ms, d.Grant, Report{Result: Failed, Elapsed: 500 * ms}})
				}
				if now < 400*ms {
					continue
				}
				r = tightRequest(now)
				r.Class = "starved"
				if d := p.Acquire(now, r); d.Refused == "" {
					g.Expect(now).To(BeNumerically("<=", 400*ms+trialInterval))
					return
				}
			}
			g.Expect("no trial").To(BeEmpty())
		})
	}
}

// TestFailedTrialsReduceTrials guards against a class whose trials fail or are abandoned
// again and again and that keeps most slots, and against a few failures of one server that
// reduce the trials of a class.
func TestFailedTrialsReduceTrials(t *testing.T) {
	for _, c := range []struct {
		desc   string
		report Report
		trials int
		want   int // trials of 20 slots
	}{
		{"one server fails", Report{Result: Failed, Elapsed: 10 * ms}, 4, 16},
		{"all fail", Report{Result: Failed, Elapsed: 10 * ms}, 16, 4},
		{"all are abandoned", Report{Result: Abandoned, Elapsed: 2 * time.Second}, 16, 4},
		{"none is sent", Report{Result: Abandoned}, 16, 16},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := pool("r", backends(5)...)
			for i := range c.trials {
				p.Release(10*ms, p.Acquire(0, numberedRequest(0, i)).Grant, c.report)
			}
			granted := 0
			for i := range 30 {
				if p.Acquire(50*ms, numberedRequest(50*ms, 100+i)).Refused == "" {
					granted++
				}
			}
			g.Expect(granted).To(Equal(c.want))
		})
	}
}

// TestTrialsOfManyPools guards against trials that fill a server because each pool counts
// all of its slots: fallback pools of many hosts, pools of two regions, and requests that
// only one region may serve.
func TestTrialsOfManyPools(t *testing.T) {
	for _, c := range []struct {
		desc    string
		shared  bool
		allowed []string
		want    int // trials in flight, of 4 slots in region r and 16 in region q
	}{
		{"a fallback pool", false, nil, 1},
		{"a shared pool", true, nil, 9},
		{"the region's own servers", true, []string{"r"}, 3},
		{"servers of the other region", true, []string{"q"}, 6},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := New(Options{Region: "r", Shared: c.shared, Limits: DefaultLimits})
			list := []*fleet.Backend{backend("a", "r")}
			for i := range 4 {
				list = append(list, backend(fmt.Sprint("q", i), "q"))
			}
			p.Update(0, list, nil, 5, 3*time.Second)
			granted := 0
			for i := range 30 {
				r := numberedRequest(0, i)
				r.Allowed = c.allowed
				if p.Acquire(0, r).Refused == "" {
					granted++
				}
			}
			g.Expect(granted).To(Equal(c.want))
		})
	}
}

// TestOneSlowTrialDoesNotBlockClass guards against one outlier that refuses all requests of
// a class for estimateMaxAge: the class took 700 ms in a disturbance and takes 100 ms again,
// but its trial meets a server that takes 590 ms. Its requests have 600 ms.
func TestOneSlowTrialDoesNotBlockClass(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backends(10)...)
	c := p.class("c", 0)
	c.missAverage, c.missObserved, c.missSamples = 700*ms, true, confirmedSamples
	acquire := func(now time.Duration) Decision {
		r := request(now, fmt.Sprint(now))
		r.Objective, r.Deadline = now+600*ms, now+600*ms
		return p.Acquire(now, r)
	}
	start := 20 * time.Second
	d := acquire(start)
	g.Expect(d.Refused).To(BeEmpty())
	p.Release(start+590*ms, d.Grant, Report{Result: Served, Elapsed: 590 * ms})
	g.Expect(acquire(start + 600*ms).Refused).To(Equal(Late))
	d = acquire(start + trialInterval)
	g.Expect(d.Refused).To(BeEmpty())
	p.Release(start+trialInterval+100*ms, d.Grant, Report{Result: Served, Elapsed: 100 * ms})
	g.Expect(acquire(start + trialInterval + 200*ms).Refused).To(BeEmpty())
}

// TestTrialSampleIsBounded guards against one trial that raises an estimate without bound,
// and against trials that were sent together and of which the last one decides.
func TestTrialSampleIsBounded(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backends(10)...)
	s := p.servers["b0"]
	c := p.class("c", 0)
	observe := func(sentAt, elapsed time.Duration) {
		c.observeServiceTime(&grant{unqueued: true, trial: true, server: s, sentAt: sentAt}, s, elapsed, timeFactor{})
	}
	observe(0, 200*ms)
	observe(10*time.Second, 5*time.Second)
	g.Expect(c.missTime()).To(Equal(600*ms), "three times the average")
	g.Expect(c.missSamples).To(Equal(1))
	observe(10*time.Second, 300*ms)
	g.Expect(c.missTime()).To(Equal(450 * ms))
	g.Expect(c.missSamples).To(Equal(2))
}
