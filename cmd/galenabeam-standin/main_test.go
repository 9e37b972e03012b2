package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// TestRefusedInput guards against stand-ins that other machines can reach, and
// against input that is accepted and then ignored.
func TestRefusedInput(t *testing.T) {
	for _, tc := range []struct{ desc, hosts, want string }{
		{"unknown section", "[node a]\n", "unknown section"},
		{"missing key", "[host a]\nregion = r\n", "failure-domain is missing"},
		{"unknown key", "[host a]\nregion = r\nfailure-domain = d\nrpc = 127.0.0.1:1\nhttp = 127.0.0.1:2\nzone = 1\n", "unknown key"},
		{"address of a network", "[host a]\nregion = r\nfailure-domain = d\nrpc = 192.0.2.1:1\nhttp = 127.0.0.1:2\n", "want a loopback address"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			path := filepath.Join(t.TempDir(), "hosts.ini")
			g.Expect(os.WriteFile(path, []byte(tc.hosts), 0o600)).To(Succeed())
			var stderr strings.Builder
			g.Expect(execute(context.Background(), []string{"-hosts", path}, &stderr)).To(Equal(exitFailed))
			g.Expect(stderr.String()).To(ContainSubstring(tc.want))
		})
	}
	g := NewWithT(t)
	g.Expect(execute(context.Background(), []string{"-store", "0.0.0.0:0"}, io.Discard)).To(Equal(exitFailed))
	g.Expect(execute(context.Background(), []string{"-host", "a,b"}, io.Discard)).To(Equal(exitUsage))
}

// TestFaults guards against calls that report success without changing the
// stand-ins, and against misspelled fields that are ignored.
func TestFaults(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := options{store: "127.0.0.1:0", hostList: "127.0.0.1:0", faults: "127.0.0.1:0"}
	g.Expect(o.hostFlags.Set("a,r,d,127.0.0.1:1,127.0.0.1:2")).To(Succeed())
	p, err := newStandIns(o, log)
	g.Expect(err).NotTo(HaveOccurred())
	defer p.close()
	call := func(method, path, body string) int {
		w := httptest.NewRecorder()
		p.faultsHandler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	g.Expect(call(http.MethodPut, "/v1/store", `{"down":true}`)).To(Equal(http.StatusNoContent))
	g.Expect(p.store.Faults().Down).To(BeTrue())
	g.Expect(call(http.MethodPut, "/v1/store", `{"dwon":true}`)).To(Equal(http.StatusBadRequest))
	g.Expect(call(http.MethodPut, "/v1/hosts", `{"id":"a","state":"leaving"}`)).To(Equal(http.StatusNoContent))
	hosts, err := p.hosts.Hosts(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hosts).To(HaveLen(1))
	g.Expect(string(hosts[0].State)).To(Equal("leaving"))
	g.Expect(call(http.MethodPut, "/v1/backends/none", `{"draining":true}`)).To(Equal(http.StatusBadRequest))
	g.Expect(call(http.MethodDelete, "/v1/hosts/a", "")).To(Equal(http.StatusNoContent))
	g.Expect(call(http.MethodGet, "/v1/state", "")).To(Equal(http.StatusOK))
}
