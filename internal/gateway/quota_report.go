package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/quota"
)

const (
	// quotaLogPeriod is the shortest time between two log lines about a workspace.
	quotaLogPeriod = 10 * time.Second
	// withinQuotaTime is the time without a refusal after which a workspace is within its
	// quota again.
	withinQuotaTime = 2 * time.Second
	// maxQuotaLabels bounds the workspaces in metrics. Others are counted as otherLabel.
	maxQuotaLabels = quota.MaxLevels
	otherLabel     = "other"
)

// overState is the state of a workspace that is or was over its quota.
type overState struct {
	refusedAt time.Duration
	refused   int // since the last log line
}

// noteRefused logs and counts a request that was refused because the quota is used up.
func (q *Quotas) noteRefused(workspace string) {
	q.mu.Lock()
	label := workspace
	if !q.refusedNames[workspace] {
		if len(q.refusedNames) < maxQuotaLabels {
			q.refusedNames[workspace] = true
		} else {
			label = otherLabel
		}
	}
	state := q.over[workspace]
	starts := state == nil
	if starts {
		state = &overState{}
		q.over[workspace] = state
	}
	state.refusedAt = q.now()
	state.refused++
	q.mu.Unlock()
	q.metrics.quotaRefused(label)
	if starts {
		q.log.WithField("workspace", workspace).Warn("workspace is over its quota")
		time.AfterFunc(quotaLogPeriod, func() { q.checkOver(workspace) })
	}
}

// forgetNames removes what is kept about workspaces without a limit, and their metrics. The
// caller holds q.mu.
func (q *Quotas) forgetNames() {
	limited := func(name string) bool { _, ok := q.limits[name]; return ok }
	maps.DeleteFunc(q.safeShareLogged, func(name string, _ time.Duration) bool { return !limited(name) })
	for name := range q.refusedNames {
		if !limited(name) {
			delete(q.refusedNames, name)
			q.metrics.forgetQuotaRefused(name)
		}
	}
}

// checkOver logs whether a workspace is within its quota again, quotaLogPeriod after the last
// line about it.
func (q *Quotas) checkOver(workspace string) {
	q.mu.Lock()
	state := q.over[workspace]
	within := q.now()-state.refusedAt >= withinQuotaTime
	refused := state.refused
	if within {
		delete(q.over, workspace)
	}
	q.mu.Unlock()
	if !within {
		time.AfterFunc(quotaLogPeriod, func() { q.checkOver(workspace) })
		return
	}
	q.log.WithFields(logrus.Fields{"workspace": workspace, "refused": refused}).Info("workspace is within its quota again")
}

// unlock unlocks q.mu and then writes the log lines that were collected while it was held:
// a log that blocks must not stop the requests that need tokens.
func (q *Quotas) unlock() {
	lines := q.lines
	q.lines = nil
	q.mu.Unlock()
	for _, write := range lines {
		write()
	}
}

// logLater collects a log line. The caller holds q.mu and calls unlock.
func (q *Quotas) logLater(write func()) { q.lines = append(q.lines, write) }

// logSafeShare logs the use of the safe share. The caller holds q.mu.
func (q *Quotas) logSafeShare(workspace string) {
	now := q.now()
	if last, ok := q.safeShareLogged[workspace]; ok && now-last < quotaLogPeriod {
		return
	}
	q.safeShareLogged[workspace] = now
	q.logLater(func() {
		q.log.WithField("workspace", workspace).Warn("no issuer answers; requests run on the safe share")
	})
}

// logIssuer logs a change of a region's issuer; before and i are nil if there is none. The
// caller holds q.mu.
func (q *Quotas) logIssuer(region string, before, i *fleet.Issuer) {
	fields := logrus.Fields{"region": region, "issuer": "", "before": ""}
	if i != nil {
		fields["issuer"], fields["incarnation"] = i.Host, i.Incarnation
	}
	if before != nil {
		fields["before"] = before.Host
	}
	q.logLater(func() { q.log.WithFields(fields).Info("issuer changed") })
}

// logTerm logs the start or the end of a term. The caller holds q.mu.
func (q *Quotas) logTerm(holds bool) {
	message := "this host is no longer its region's issuer"
	if holds {
		message = "this host is its region's issuer"
	}
	q.logLater(func() { q.log.WithField("region", q.self.Region).Info(message) })
}

// quotaRefused counts a request that was refused because the quota is used up.
func (m *Metrics) quotaRefused(workspace string) {
	if m != nil {
		m.increment("quota_refused;workspace=" + workspace)
	}
}

// forgetQuotaRefused removes the counter of a workspace that has no limit any more.
func (m *Metrics) forgetQuotaRefused(workspace string) {
	if m != nil {
		m.registry.Unregister("quota_refused;workspace=" + workspace)
	}
}

// quotaMessage counts a message about quotas.
func (m *Metrics) quotaMessage(method string) {
	if m != nil {
		m.increment("quota_messages;method=" + method)
	}
}

// updateGauges updates the gauges of quotas in a registry. Those of workspaces are removed
// when this host is no longer the issuer.
func (q *Quotas) updateGauges(r metrics.Registry) {
	q.mu.Lock()
	defer q.unlock()
	now := q.now()
	issuer, is := q.currentIssuer(now), int64(0)
	levels := map[string]int{}
	if issuer != nil {
		is = 1
		levels = issuer.Levels(now)
	}
	metrics.GetOrRegisterGauge("quota_issuer", r).Update(is)
	for name := range q.shownTokens {
		if _, ok := levels[name]; !ok {
			r.Unregister("quota_tokens;workspace=" + name)
			delete(q.shownTokens, name)
		}
	}
	for name, level := range levels {
		q.shownTokens[name] = true
		metrics.GetOrRegisterGauge("quota_tokens;workspace="+name, r).Update(int64(level))
	}
}

// QuotaDump is the state of quotas in the state dump, with at most maxQuotaLabels workspaces
// in each map.
type QuotaDump struct {
	// Issuers are the known issuers by region.
	Issuers map[string]string `json:"issuers"`
	// Issuing is set if this host is the issuer of its region.
	Issuing bool `json:"issuing"`
	// Levels are the tokens that this host can lend, Held those that it holds.
	Levels map[string]int `json:"levels,omitempty"`
	Held   map[string]int `json:"held,omitempty"`
	// OverQuota are the workspaces that are over their quota here.
	OverQuota []string `json:"over_quota,omitempty"`
}

// Dump returns the state of quotas.
func (q *Quotas) Dump() QuotaDump {
	q.mu.Lock()
	defer q.unlock()
	now := q.now()
	d := QuotaDump{Issuers: map[string]string{}, Held: q.client.Held(now, maxQuotaLabels)}
	for region, i := range q.issuers {
		d.Issuers[region] = i.Host
	}
	if issuer := q.currentIssuer(now); issuer != nil {
		d.Issuing, d.Levels = true, issuer.Levels(now)
	}
	for _, workspace := range slices.Sorted(maps.Keys(q.over)) {
		if len(d.OverQuota) < maxQuotaLabels {
			d.OverQuota = append(d.OverQuota, workspace)
		}
	}
	return d
}
