package ctl_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

// TestCall guards against exit code 0 for a request that was not run or that the
// backend server answered with an error.
func TestCall(t *testing.T) {
	for _, c := range []struct {
		desc    string
		outcome outcome.Outcome
		status  int
		flags   []string
		code    int
		want    string
	}{
		{"done", outcome.Success(), 200, nil, 0, "got hello"},
		{"done as JSON", outcome.Success(), 200, []string{"-json"}, 0, `"body": "got hello"`},
		{"done with an error status", outcome.Success(), 500, nil, 1, "status 500"},
		{"not run", outcome.Refuse(outcome.ReasonLate, 0), 503, nil, 1, "not-run (late)"},
		{"not run as JSON", outcome.Refuse(outcome.ReasonLate, 0), 503, []string{"-json"}, 1, `"reason": "late"`},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == httpapi.PathLookup {
					_, _ = io.WriteString(w, `{"hosts":[{"address":"`+server.Listener.Addr().String()+`","region":"r","incarnation":1}],"ttl_ms":5000}`)
					return
				}
				w.Header().Set(httpapi.HeaderRequestID, r.Header.Get(httpapi.HeaderRequestID))
				httpapi.SetOutcome(w.Header(), c.outcome)
				body, _ := io.ReadAll(r.Body)
				answer := "got " + string(body[:min(5, len(body))])
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, answer)
			}))
			defer server.Close()
			line := []string{"call", "-entry", server.Listener.Addr().String(), "-service", "s", "-rank", "r", "-timeout", "2s", "-data", "@hello"}
			dir := t.TempDir()
			writeFile(g, dir, "hello", "hello")
			r := run(dir, nil, append(line, c.flags...)...)
			g.Expect(r.code).To(Equal(c.code), r.stdout+r.stderr)
			g.Expect(r.stdout + r.stderr).To(ContainSubstring(c.want))
		})
	}
}
