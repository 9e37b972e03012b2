package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
)

// resultNames holds the names of attempt results in logs and metrics.
var resultNames = map[dispatch.Result]string{
	dispatch.Served: "served", dispatch.Failed: "failed", dispatch.Shed: "shed",
	dispatch.Unreachable: "unreachable", dispatch.Misdirected: "misdirected",
	dispatch.TimedOut: "timed_out", dispatch.Abandoned: "abandoned",
}

// resultText returns the result of an attempt with its error, for the log.
func resultText(r reply) string {
	name := resultNames[r.result]
	if r.err != nil {
		name += ": " + r.err.Error()
	}
	return name
}

// recordRequest logs and counts a request whose answer is known. "request not served"
// is logged for all but backend servers' answers below 500; for theirs of 500 or above,
// outcome is "served". A later break of a large answer is not recorded.
func (g *Gateway) recordRequest(pr *pendingRequest, a *Answer, outcome string) {
	took := time.Since(pr.request.Received)
	route := ""
	if pr.route != nil {
		route = pr.route.Name
	}
	g.cfg.Metrics.request(pr, outcome, took)
	log := g.cfg.Log
	answered := outcome == "served" && a.Status < 500
	if answered {
		log = g.cfg.Access
	}
	revision := uint64(0)
	if s := g.snapshot.Load(); s != nil {
		revision = s.Revision
	}
	left := 0.0
	if !pr.deadline.IsZero() {
		left = toMillis(time.Until(pr.deadline))
	}
	entry := log.WithFields(logrus.Fields{
		"request": pr.id, "route": route, "service": pr.service, "key": pr.affinityKey, "config_version": pr.configVersion,
		"view_revision": revision, "view_age_ms": g.cfg.Age().Milliseconds(), "status": a.Status, "outcome": outcome,
		"took_ms": toMillis(took), "left_ms": left, "attempts": pr.attemptRecords, "retry_budget_empty": pr.budgetEmpty,
	})
	if pr.workspace != nil {
		entry = entry.WithFields(logrus.Fields{"workspace": pr.workspace.Name, "rank": pr.rank})
	}
	if answered {
		entry.Info("request answered")
		return
	}
	entry.Warn("request not served")
}
