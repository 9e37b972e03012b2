package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/adapter/admin"
	"github.com/galenabeam/galenabeam/internal/drain"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// adminState implements admin.State from the states that the hosts of all regions
// report, except Dump, which is of this process only. Hosts that do not answer are
// missing.
type adminState struct {
	d *Daemon

	mu sync.Mutex
	// drains tracks the drains of the latest call of Drains.
	drains map[config.Drain]*drain.Drain
}

// Fleet implements admin.State.
func (s *adminState) Fleet(ctx context.Context) ([]admin.FleetHost, error) {
	var out []admin.FleetHost
	for _, h := range s.d.control.FleetState(ctx) {
		f := admin.FleetHost{Info: h.Host, Status: h.Status, Lessor: h.Lessor, Pools: []string{}, Revision: int64(h.Revision)}
		for _, p := range h.Pools {
			f.Pools = append(f.Pools, p.Service+"/"+p.Region)
		}
		slices.Sort(f.Pools)
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b admin.FleetHost) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out, nil
}

// Caps implements admin.State.
func (s *adminState) Caps(ctx context.Context) ([]admin.Cap, error) {
	hosts := s.d.control.FleetState(ctx)
	hostIDs := map[host.Incarnation]host.ID{}
	for _, h := range hosts {
		hostIDs[h.Host.Incarnation] = h.Host.ID
	}
	out := []admin.Cap{}
	for _, h := range hosts {
		for _, c := range h.Caps {
			out = append(out, capFromState(h.Host.Region, c, hostIDs))
		}
	}
	slices.SortFunc(out, func(a, b admin.Cap) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	return out, nil
}

func capFromState(region string, c peer.CapState, hostIDs map[host.Incarnation]host.ID) admin.Cap {
	out := admin.Cap{From: c.Origin, To: region, Concurrent: c.Concurrent, BytesPerSecond: c.BytesPerSecond, Used: c.Used, Holders: []admin.Share{}}
	for _, h := range c.Holders {
		// Pool and ExpiresInMillis are not set.
		out.Holders = append(out.Holders, admin.Share{Host: hostIDs[h.Holder], Concurrent: h.Concurrent, BytesPerSecond: h.BytesPerSecond})
	}
	return out
}

// Queues implements admin.State.
func (s *adminState) Queues(ctx context.Context, region string) ([]admin.Queue, error) {
	out := []admin.Queue{}
	for _, h := range s.d.control.FleetState(ctx) {
		if region != "" && h.Host.Region != region {
			continue
		}
		for _, p := range h.Pools {
			for _, r := range p.Ranks {
				out = append(out, admin.Queue{Region: p.Region, Service: p.Service, Rank: r.Name, Slots: p.Slots, Queued: r.Queued,
					InFlight: r.InFlight, WaitMillis: float64(r.Wait) / float64(time.Millisecond)})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b admin.Queue) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Service, b.Service))
	})
	return out, nil
}

// Drains implements admin.State.
func (s *adminState) Drains(ctx context.Context) ([]admin.DrainProgress, error) {
	c := s.d.views.Load().Config
	if c == nil {
		return nil, admin.ErrNoConfig
	}
	hosts := s.d.control.FleetState(ctx)
	now := s.d.control.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []admin.DrainProgress{}
	tracked := map[config.Drain]*drain.Drain{}
	for _, configured := range c.Drains {
		d, ok := s.drains[configured]
		if !ok {
			d = drain.New(now, configured, drain.CoveredServers(c, configured))
		}
		tracked[configured] = d
		reportLoads(now, d, hosts, c.LongestDeadline())
		p := d.Progress(now)
		out = append(out, admin.DrainProgress{Kind: p.Kind, Target: p.Target, Reason: p.Reason, InFlight: p.InFlight,
			Done: p.State == drain.Done, EstimatedMillis: p.EstimatedLeft.Milliseconds()})
	}
	s.drains = tracked
	return out, nil
}

// reportLoads passes the loads that the pools' owners report to d. longestDeadline
// bounds the time that a request may still run.
func reportLoads(now time.Duration, d *drain.Drain, hosts []peer.HostState, longestDeadline time.Duration) {
	for _, h := range hosts {
		for _, p := range h.Pools {
			var serviceTime time.Duration
			for _, r := range p.Ranks {
				if r.InFlight > 0 {
					serviceTime = max(serviceTime, r.ServiceTime)
				}
			}
			for _, b := range p.Servers {
				d.Report(now, b.Name, drain.Load{InFlight: b.InFlight + b.Reserved, LatestDeadline: now + longestDeadline, MeanServiceTime: serviceTime})
			}
		}
	}
}

// Dump implements admin.State.
func (s *adminState) Dump(context.Context) (any, error) { return s.d.Dump(), nil }
