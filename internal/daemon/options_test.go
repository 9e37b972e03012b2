package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/settings"
)

// TestHostListCountsInTheDaemonsRegistry guards against metrics of the host list that
// the administration API does not serve, because the client registers them in another
// registry, and against options without the setting max-body-bytes.
func TestHostListCountsInTheDaemonsRegistry(t *testing.T) {
	g := NewWithT(t)
	tokens := filepath.Join(t.TempDir(), "tokens.ini")
	g.Expect(os.WriteFile(tokens, []byte("[token anna]\nsha256 = "+strings.Repeat("0", 64)+"\nrole = read\n"), 0o600)).To(Succeed())
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &settings.Settings{Host: "entry-1", Region: "north", FailureDomain: "a", StoreURL: "http://127.0.0.1:1", HostListURL: "http://127.0.0.1:1", TokensFile: tokens, MaxBodyBytes: 5}
	s.HTTP.Listen, s.RPC.Listen = "127.0.0.1:0", "127.0.0.1:0"
	o, err := FromSettings(s, log)
	g.Expect(err).NotTo(HaveOccurred())
	d, err := New(o)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _, _ = d.httpListener.Close(), d.rpcListener.Close() }()
	g.Expect(d.opts.MaxBodyBytes).To(BeEquivalentTo(5))
	g.Expect(d.metrics.Get("hostlist.calls")).NotTo(BeNil())
}

// TestBodiesAreLimited guards against a body limit that is accepted and ignored.
func TestBodiesAreLimited(t *testing.T) {
	g := NewWithT(t)
	read := 0
	h := limitBodies(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		read = len(data)
	}), 4)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/run/tables/x", strings.NewReader("12345")))
	g.Expect(w.Code).To(Equal(http.StatusRequestEntityTooLarge))
	g.Expect(w.Header().Get(httpapi.HeaderReason)).To(Equal("too-large"))
	g.Expect(read).To(BeZero())
	chunked := httptest.NewRequest(http.MethodPost, "/v1/run/tables/x", strings.NewReader("12345"))
	chunked.ContentLength = -1
	h.ServeHTTP(httptest.NewRecorder(), chunked)
	g.Expect(read).To(Equal(4))
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/run/tables/x", strings.NewReader("123")))
	g.Expect(read).To(Equal(3))
}
