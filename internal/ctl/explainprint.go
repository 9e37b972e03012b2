package ctl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/gateway"
)

// printExplanation prints an explanation as text. With a decider, it prints only the services
// for which the asked host decides.
func (i *invocation) printExplanation(e *gateway.Explanation, decider string) error {
	var b strings.Builder
	if decider == "" {
		writeExplainedRequest(&b, e)
	} else {
		fmt.Fprintf(&b, "asked %s: configuration %d, store revision %d, confirmed %s ago\n", e.AskedHost, e.ConfigVersion, e.StoreRevision, formatMillis(e.StoreAgeMillis))
	}
	writeEntryRefusal(&b, "refused by the entry host", e.Refusal)
	if _, err := fmt.Fprint(i.Stdout, printable(b.String())); err != nil {
		return err
	}
	for _, s := range e.Services {
		if decider != "" && (s.Decider == nil || !s.Decider.Self) {
			continue
		}
		if err := i.printServiceExplanation(&s, e.Object); err != nil {
			return err
		}
	}
	return nil
}

func writeExplainedRequest(b *strings.Builder, e *gateway.Explanation) {
	fmt.Fprintf(b, "entry host %s, region %s: configuration %d, store revision %d, confirmed %s ago\n", e.EntryHost, e.Region, e.ConfigVersion, e.StoreRevision, formatMillis(e.StoreAgeMillis))
	repeatable := "repeatable"
	if !e.Repeatable {
		repeatable = "runs at most once"
	}
	fmt.Fprintf(b, "route %s (%s), objective %s, deadline %s\n", e.Route, repeatable, formatMillis(e.ObjectiveMillis), formatMillis(e.DeadlineMillis))
	workspace, regions := "none", "all"
	if e.Workspace != "" {
		workspace = e.Workspace
	}
	if e.AllowedRegions != nil {
		regions = strings.Join(e.AllowedRegions, " ")
	}
	fmt.Fprintf(b, "workspace %s, rank %d, object %q, allowed regions: %s\n", workspace, e.Rank, e.Object, regions)
	if q := e.Quota; q != nil {
		fmt.Fprintf(b, "quota: %.1f tokens left at %s, issuer %q\n", q.Tokens, e.AskedHost, q.Issuer)
		writeQuota(b, q)
	}
	if len(e.Held) > 0 {
		fmt.Fprintf(b, "servers that get nothing from %s, as they pause or leave: %s\n", e.AskedHost, strings.Join(e.Held, " "))
	}
}

// writeQuota writes what the request gets now for its quota, and what the asked host knows of
// the issuer.
func writeQuota(b *strings.Builder, q *gateway.QuotaState) {
	if q.Level != nil {
		fmt.Fprintf(b, "  the asked host is the issuer and can lend %d tokens\n", *q.Level)
	}
	if q.IssuerSuspected {
		b.WriteString("  the issuer of the region has not answered lately and is not asked now\n")
	}
	if a := q.LastAnswer; a != nil {
		fmt.Fprintf(b, "  last answer of the issuer (%s), %s ago: lent %d tokens", a.Issuer, formatMillis(a.AgeMillis), a.Lent)
		for _, note := range []struct {
			holds bool
			text  string
		}{{a.Short, "lacked tokens for requests that waited"}, {a.Elsewhere, "other regions may have some"}, {a.Fresh, "it had just started"}} {
			if note.holds {
				b.WriteString(", " + note.text)
			}
		}
		b.WriteByte('\n')
	}
	switch q.Decision {
	case gateway.TokenHeld:
		b.WriteString("  the request gets a token at once\n")
	case gateway.TokenSafeShare:
		b.WriteString("  the request is sent on the safe share of the host, as no issuer answers\n")
	case gateway.TokenRefused:
		writeEntryRefusal(b, "  the request is refused", q.Refusal)
	case gateway.TokenWait:
		asked := "no issuer is known that can be asked"
		if q.AskedRegion != "" {
			asked = "the issuer of region " + q.AskedRegion + " is asked"
		}
		fmt.Fprintf(b, "  the request waits for a token, at most %s; %s\n", formatMillis(q.WaitMillis), asked)
		if q.Unanswered == nil {
			b.WriteString("  without an answer, it is sent on the safe share of the host\n")
		}
		writeEntryRefusal(b, "  without an answer", q.Unanswered)
	}
}

func writeEntryRefusal(b *strings.Builder, by string, r *gateway.Refusal) {
	if r == nil {
		return
	}
	fmt.Fprintf(b, "%s: status %d, %s", by, r.Status, r.Text)
	if r.RetryAfter != "" {
		fmt.Fprintf(b, ", Retry-After %s s", r.RetryAfter)
	}
	b.WriteByte('\n')
}

func (i *invocation) printServiceExplanation(s *gateway.ServiceExplanation, object string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\nservice %s, %.4g of the requests\n", s.Service, s.Share)
	writeEntryRefusal(&b, "  refused by the entry host", s.Refusal)
	if d := s.Decider; d != nil {
		writeDecider(&b, d)
	}
	switch {
	case s.Refusal != nil:
	case s.Decision == nil:
		b.WriteString("  the asked host has no pool of the service yet\n")
	default:
		writePoolDecision(&b, s)
	}
	if _, err := fmt.Fprint(i.Stdout, printable(b.String())); err != nil {
		return err
	}
	if s.Decision == nil || len(s.Decision.Servers) == 0 {
		return nil
	}
	return i.printTable(serverRows(s.Decision.Servers, object))
}

func writeDecider(b *strings.Builder, d *gateway.Decider) {
	switch {
	case d.Fallback:
		fmt.Fprintf(b, "  decided by the asked host alone: no dispatcher answers, and its copy of the store does not list it")
	case d.Self:
		fmt.Fprintf(b, "  decided by the asked host")
	default:
		fmt.Fprintf(b, "  decided by %s; ask it at %s (or use -follow)", d.Host, d.ExplainAddress)
	}
	var order []string
	for _, o := range d.Order {
		if o.Suspected {
			o.Host += " (does not answer)"
		}
		order = append(order, o.Host)
	}
	if len(order) > 0 {
		fmt.Fprintf(b, "; order: %s", strings.Join(order, ", "))
	}
	b.WriteByte('\n')
}

// writePoolDecision writes the decision of the asked host's pool and the age of its inputs.
func writePoolDecision(b *strings.Builder, s *gateway.ServiceExplanation) {
	d := s.Decision
	by := "decision now"
	if s.Decider != nil && !s.Decider.Self {
		by = "the pool of the asked host, which does not decide, would say"
	}
	if d.Refused == "" {
		fmt.Fprintf(b, "  %s: server %s", by, d.Server)
		if d.HedgeDelayMillis > 0 {
			fmt.Fprintf(b, ", a hedge after %s", formatMillis(d.HedgeDelayMillis))
		}
	} else {
		fmt.Fprintf(b, "  %s: refused (%s), Retry-After %s: %s", by, d.Refused, formatMillis(d.RetryAfterMillis), d.Because)
	}
	fmt.Fprintf(b, "; %.0f%% of the slots are taken\n", 100*d.Busy)
	for _, note := range []struct {
		holds bool
		text  string
	}{
		{d.Trial, "granted as a trial, although its estimate is late: that is an assumption, or old"},
		{d.Returned, "counts as the return of a refused request at its scheduled time"},
		{d.Candidates.AllRegions, "the bound on shifts between regions is ignored, as no server within it is usable"},
		{d.Candidates.PaceIgnored, "the pace of servers that have just started is ignored, as no other server takes the request"},
		{d.Candidates.Filter == "any", "no healthy server is usable, so servers that are marked down count too"},
		{s.Loading, "decisions about objects wait for the saved knowledge now"},
		{s.PoolIdleMillis > 0, "the last request of the pool came " + formatMillis(s.PoolIdleMillis) + " ago"},
	} {
		if note.holds {
			fmt.Fprintf(b, "  %s\n", note.text)
		}
	}
	fmt.Fprintf(b, "  digests of other regions: %s\n", formatDigestAges(d.DigestAgeMillis, s.NoDigestFrom))
	fmt.Fprintf(b, "  %d servers considered; excluded: %s\n", d.Considered, formatExcluded(d.Excluded))
}

func formatDigestAges(ages map[string]float64, none []string) string {
	var parts []string
	for region, age := range ages {
		parts = append(parts, region+" "+formatMillis(age)+" ago")
	}
	for _, region := range none {
		parts = append(parts, region+" never")
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return "there are no other regions"
	}
	return strings.Join(parts, ", ")
}

func formatExcluded(excluded map[dispatch.Exclusion]int) string {
	var parts []string
	for reason, n := range excluded {
		parts = append(parts, fmt.Sprintf("%d %s", n, reason))
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// serverRows returns the rows of a table of servers, for a request about an object if it is
// not empty.
func serverRows(list []dispatch.ServerEstimate, object string) [][]string {
	rows := [][]string{{"  server", "region", "wait", "service", "finish", "cost", "load", "object", "report age", "remarks"}}
	for _, s := range list {
		age, held := "none", "no"
		if s.LoadReportAgeMillis != nil {
			age = formatMillis(*s.LoadReportAgeMillis)
		}
		switch {
		case object == "":
			held = "none"
		case s.HoldsObject:
			held = "held"
		}
		rows = append(rows, []string{"  " + s.Server, s.Region, formatMillis(s.WaitMillis), formatMillis(s.ServiceMillis), formatMillis(s.FinishMillis), formatMillis(s.CostMillis),
			fmt.Sprintf("%.0f/%d", s.Load, s.Slots), held, age, serverRemarks(s)})
	}
	return rows
}

// serverRemarks returns what is unusual about a server.
func serverRemarks(s dispatch.ServerEstimate) string {
	var remarks []string
	add := func(is bool, text string) {
		if is {
			remarks = append(remarks, text)
		}
	}
	add(s.Excluded != "", "excluded: "+string(s.Excluded))
	add(!s.InTime, "late")
	add(s.Cold, "cold")
	add(s.Down, "down")
	add(s.Pace > 0, "paced at "+strconv.Itoa(s.Pace))
	add(s.Slowness < 0.8 || s.Slowness > 1.25, fmt.Sprintf("slowness %.2f", s.Slowness))
	add(s.TimeFactor < 0.99 || s.TimeFactor > 1.01, fmt.Sprintf("reports %.2f of its usual time", s.TimeFactor))
	add(s.Failures > 0.01, fmt.Sprintf("failure rate %.2f", s.Failures))
	return strings.Join(remarks, ", ")
}

// formatMillis formats a time in milliseconds.
func formatMillis(ms float64) string {
	if ms >= 10_000 {
		return fmt.Sprintf("%.1f s", ms/1000)
	}
	return fmt.Sprintf("%.0f ms", ms)
}
