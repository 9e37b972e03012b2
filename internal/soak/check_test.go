package soak

import (
	"fmt"
	"time"
)

// check fails the test for each promise that was broken.
func (w *world) check(goodFrom time.Time) {
	problems, served, total := w.findings(goodFrom)
	for promise, list := range problems {
		w.t.Errorf("seed %d: %s: %d times, first: %s", w.seed, promise, len(list), list[0])
	}
	w.t.Logf("seed %d: %d requests, %d of %d served at the end", w.seed, len(w.book.list), served, total)
}

// findings compares what callers and backend servers saw with the promises. It
// returns what broke each promise, and the requests after goodFrom.
func (w *world) findings(goodFrom time.Time) (problems map[string][]string, served, total int) {
	w.led.mu.Lock()
	defer w.led.mu.Unlock()
	sent := map[string]*request{}
	for _, r := range w.book.list {
		sent[r.id] = r
	}
	problems = map[string][]string{}
	add := func(promise, format string, args ...any) {
		problems[promise] = append(problems[promise], fmt.Sprintf(format, args...))
	}
	for id, runs := range w.led.runs {
		r := sent[id]
		if r == nil {
			add("runs only what was sent", "%s", id)
			continue
		}
		for _, one := range runs {
			if one.body != r.body {
				add("bodies are unchanged", "%s ran with %q", id, one.body)
			}
		}
		if !r.repeatable && len(runs) > 1 {
			add("at most once", "%s ran %d times: %v", id, len(runs), runs)
		}
	}
	for _, r := range w.book.list {
		runs := w.led.runs[r.id]
		w.checkAnswer(r, runs, add)
		w.checkTimes(r, runs, add)
		if r.sent.After(goodFrom) && r.probe == 0 {
			total++
			if r.status == 200 {
				served++
			}
		}
	}
	w.checkReverts(add)
	if total == 0 || float64(served) < goodShare*float64(total) {
		add("recovers", "%d of %d requests served at the end", served, total)
	}
	return problems, served, total
}

// checkAnswer holds what a caller was told against what ran.
func (w *world) checkAnswer(r *request, runs []run, add func(string, string, ...any)) {
	at := r.sent.Sub(w.began)
	switch {
	case r.status == 200 && r.answer != expected(r.id, r.body):
		add("whole answer to its own request", "%s at %v got %q", r.id, at, r.answer)
	case (r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421) && !r.repeatable && len(runs) > 0:
		add("not run is true", "%s at %v got %d and ran at %s", r.id, at, r.status, runs[0].server)
	case r.status == 404 && r.probe == 0:
		add("no route is denied", "%s at %v at %s", r.id, at, r.host.name)
	case r.status == 0 && r.host.calm(r.sent.Add(-contact), r.ended.Add(100*time.Millisecond)):
		if r.timedOut {
			add("answers in time", "%s at %v at %s: none after %v", r.id, at, r.host.name, r.ended.Sub(r.sent))
		} else if len(runs) > 0 {
			add("no request is cut", "%s at %v at %s after %v", r.id, at, r.host.name, r.ended.Sub(r.sent))
		}
	}
}

// checkTimes checks the promises with a time bound, at hosts in touch.
func (w *world) checkTimes(r *request, runs []run, add func(string, string, ...any)) {
	if !w.store.calm(r.sent.Add(-contact), r.ended) || !r.host.inTouch(r.sent, r.ended) {
		return
	}
	at := r.sent.Sub(w.began)
	oldest := 0
	for i, v := range w.versions {
		if v.acked.Add(configApply).Before(r.sent) {
			oldest = i
		}
	}
	for _, one := range runs {
		allowed := false
		for _, v := range w.versions[oldest:] {
			allowed = allowed || v.service == one.service
		}
		if !allowed {
			add("configuration in force", "%s at %v at %s ran at %s", r.id, at, r.host.name, one.service)
		}
		for _, b := range w.backends {
			left := b.leftAt.Load()
			if b.id != one.server || left <= 1 {
				continue
			}
			acked := time.Unix(0, left)
			if w.store.calm(acked.Add(-contact), acked) && one.at.After(acked.Add(drainTimeout)) {
				add("no work to leaving servers", "%s at %v reached %s %v after it left", r.id, at, b.id, one.at.Sub(acked))
			}
		}
	}
	if r.probe > 0 && r.status == 404 && r.probe <= oldest+1 {
		add("configuration in force", "%s at %v at %s: no route of version %d", r.id, at, r.host.name, r.probe)
	}
}

// checkReverts checks that a process which has served a version's route never
// denies it later.
func (w *world) checkReverts(add func(string, string, ...any)) {
	type key struct {
		host        *host
		incarnation int
		version     int
	}
	served := map[key]time.Time{}
	for _, r := range w.book.list {
		k := key{r.host, r.incarnation, r.probe}
		if first, ok := served[k]; r.probe > 0 && r.status == 200 && (!ok || r.ended.Before(first)) {
			served[k] = r.ended
		}
	}
	for _, r := range w.book.list {
		if first, ok := served[key{r.host, r.incarnation, r.probe}]; ok && r.status == 404 && r.sent.After(first) {
			add("configuration never reverts", "%s at %s", r.id, r.host.name)
		}
	}
}
