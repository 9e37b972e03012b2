package quickstart

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/client"
	"github.com/galenabeam/galenabeam/internal/httpapi"
)

var rankNames = []string{"lookup", "declaration", "manifest"}

// workload is the load that callers of one rank offer per region and service.
type workload struct {
	rank              int
	customer          string
	requestsPerSecond float64
	serviceMillis     int
	idempotent        bool
	body              int // bytes
}

var workloads = []workload{
	{rank: 0, customer: "analysts", requestsPerSecond: 60, serviceMillis: 10, idempotent: true},
	{rank: 1, customer: "hotels", requestsPerSecond: 20, serviceMillis: 30, body: 512},
	{rank: 2, customer: "buses", requestsPerSecond: 4, serviceMillis: 200, body: 20 << 10},
}

// sample is the outcome of one request.
type sample struct {
	rank   int
	work   string
	kind   client.Kind
	reason string
	// region is the region in which the request ran.
	region  string
	latency time.Duration
	// crossed is set if the answer belongs to another request.
	crossed bool
	// cut is set if the answer is incomplete.
	cut bool
}

// load generates the requests of all callers and collects their samples.
type load struct {
	cluster *cluster
	clients [][]*client.Client // by region and workload
	flood   atomic.Bool
	offered atomic.Int64
	running sync.WaitGroup

	mu      sync.Mutex
	samples []sample
}

// floodFactor multiplies the arrival rate of the least urgent rank in a flood. Each
// service then gets 4/s x 40 x 0.2 s = 32 slots of work in a region that has 8, so
// 4 times what all slots can serve.
const floodFactor = 40

func newLoad(c *cluster) (*load, error) {
	l := &load{cluster: c}
	for region := range regionNames {
		var row []*client.Client
		for _, w := range workloads {
			cl, err := client.New(client.Config{Entries: c.addresses(region), Customer: w.customer, LocalIP: callerIP(region)})
			if err != nil {
				return nil, err
			}
			row = append(row, cl)
		}
		l.clients = append(l.clients, row)
	}
	return l, nil
}

// run offers requests at the workloads' rates until ctx ends, then waits for
// the requests in progress.
func (l *load) run(ctx context.Context) {
	var generators sync.WaitGroup
	for region := range regionNames {
		for workloadIndex := range workloads {
			for _, service := range serviceNames {
				generators.Add(1)
				go func() {
					defer generators.Done()
					l.generate(ctx, region, workloadIndex, service)
				}()
			}
		}
	}
	generators.Wait()
	l.running.Wait()
	for _, row := range l.clients {
		for _, c := range row {
			c.Close()
		}
	}
}

// generate sends requests until ctx ends, at a rate that does not depend on answers.
func (l *load) generate(ctx context.Context, region, workloadIndex int, service string) {
	const interval = 10 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last, due := time.Now(), 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			rate := workloads[workloadIndex].requestsPerSecond
			if l.flood.Load() && workloads[workloadIndex].rank == len(rankNames)-1 {
				rate *= floodFactor
			}
			due += rate * now.Sub(last).Seconds()
			last = now
			for ; due >= 1; due-- {
				l.running.Add(1)
				go l.sendOne(region, workloadIndex, service)
			}
		}
	}
}

// sendOne sends a request and records its outcome.
func (l *load) sendOne(region, workloadIndex int, service string) {
	defer l.running.Done()
	wl := workloads[workloadIndex]
	l.offered.Add(1)
	work := fmt.Sprintf("%s-%s-%d", regionNames[region], rankNames[wl.rank], l.cluster.workCount.Add(1))
	begun := time.Now()
	res, err := l.clients[region][workloadIndex].Do(context.Background(), client.Request{Service: service, Rank: rankNames[wl.rank],
		Path: fmt.Sprintf("/work?work=%s&ms=%d", work, wl.serviceMillis), Body: make([]byte, wl.body), Idempotent: wl.idempotent,
		Timeout: l.cluster.config.Ranks[wl.rank].Deadline})
	s := sample{rank: wl.rank, work: work, kind: client.NotRun, latency: time.Since(begun)}
	if err != nil {
		s.reason = err.Error()
	} else {
		s.kind, s.reason = res.Kind, res.Reason
		if res.Kind == client.Done {
			body := string(res.Body)
			s.region = res.Header.Get(httpapi.HeaderRegion)
			s.cut = !strings.HasSuffix(body, "\n")
			s.crossed = !strings.Contains(body, " work="+work+" ")
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

// results returns the samples of the requests that have ended so far.
func (l *load) results() []sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sample(nil), l.samples...)
}
