package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
)

var resultNames = map[dispatch.Result]string{
	dispatch.Served: "served", dispatch.Failed: "failed", dispatch.Shed: "shed",
	dispatch.Unreachable: "unreachable", dispatch.Misdirected: "misdirected",
	dispatch.TimedOut: "timed_out", dispatch.Abandoned: "abandoned",
}

func resultName(r reply) string {
	name := resultNames[r.result]
	if r.err != nil {
		name += ": " + r.err.Error()
	}
	return name
}

// record writes the line of a request and counts its end.
func (g *Gateway) record(f *flight, a *Answer, reason string) {
	took := time.Since(f.request.Received)
	route := ""
	if f.route != nil {
		route = f.route.Name
	}
	g.cfg.Metrics.request(f, reason, took)
	log := g.cfg.Log
	answered := reason == "served" && a.Status < 500
	if answered {
		log = g.cfg.Access
	}
	revision := uint64(0)
	if s := g.view.Load(); s != nil {
		revision = s.Revision
	}
	left := 0.0
	if !f.deadline.IsZero() {
		left = ms(time.Until(f.deadline))
	}
	entry := log.WithFields(logrus.Fields{
		"request": f.id, "route": route, "service": f.service, "key": f.key, "config_version": f.version,
		"view_revision": revision, "view_age_ms": g.cfg.Age().Milliseconds(), "status": a.Status, "outcome": reason,
		"took_ms": ms(took), "left_ms": left, "attempts": f.trail, "retry_budget_empty": f.budgetEmpty,
	})
	if answered {
		entry.Info("request answered")
		return
	}
	entry.Warn("request not served")
}
