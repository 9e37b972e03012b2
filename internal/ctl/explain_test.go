package ctl

import (
	"bytes"
	"context"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const explainLog = `collector text {"host":"h1","level":"info","msg":"configuration in force","time":"2026-01-01T00:00:01.000Z","version":7}
not a line of the log
{"host":"h2","level":"info","msg":"configuration in force","time":"2026-01-01T00:00:01.000Z","version":6}
{"host":"h1","level":"info","msg":"configuration in force","time":"2026-01-01T00:00:02.000Z","version":8}
{"host":"h1","level":"warning","msg":"store was restored from an older copy","time":"2026-01-01T00:00:02.500Z","era":3,"era_before":2,"revision":80,"revision_before":95}
{"host":"h1","level":"warning","msg":"request not served","request":"id1","outcome":"overload","status":503,"took_ms":1.5,"left_ms":1998,"route":"r","service":"s","key":"17","config_version":8,"view_revision":90,"view_age_ms":12,"attempts":[{"by":"h3","load":9,"busy":0.97,"wait_ms":300,"service_ms":200,"took_ms":0,"result":"overload"}],"time":"2026-01-01T00:00:03.000Z"}
{"host":"h1","level":"info","msg":"configuration in force","time":"2026-01-01T00:00:04.000Z","version":9}
`

// TestExplain guards against output that leaves out why a request failed, or that
// includes the state of another host or of a later time.
func TestExplain(t *testing.T) {
	g := NewWithT(t)
	var out, errs bytes.Buffer
	env := Env{Stdin: strings.NewReader(explainLog), Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }}
	g.Expect(Run(context.Background(), []string{"explain", "id1"}, env)).To(Equal(ExitOK), errs.String())
	text := out.String()
	g.Expect(text).To(ContainSubstring("outcome overload, status 503"))
	g.Expect(text).To(ContainSubstring("decided by h3"))
	g.Expect(text).To(ContainSubstring("0.97 of all slots taken"))
	g.Expect(text).To(ContainSubstring("version=8"))
	g.Expect(text).To(ContainSubstring("store was restored from an older copy era=3 era_before=2 revision=80"), "the view's revision is one of that era")
	g.Expect(text).NotTo(ContainSubstring("version=6"))
	g.Expect(text).NotTo(ContainSubstring("version=9"))
}

// TestExplainUnknown guards against exit code 0 for an unknown ID or an unreadable
// log, and against a missing ID that is taken for an empty one.
func TestExplainUnknown(t *testing.T) {
	for _, c := range []struct {
		args []string
		want int
	}{{[]string{"explain", "none"}, ExitFailed}, {[]string{"explain"}, ExitUsage}, {[]string{"explain", "id1", "/does/not/exist"}, ExitFailed}} {
		var out, errs bytes.Buffer
		env := Env{Stdin: strings.NewReader(explainLog), Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }}
		g := NewWithT(t)
		g.Expect(Run(context.Background(), c.args, env)).To(Equal(c.want))
		g.Expect(errs.String()).NotTo(BeEmpty())
	}
}
