package daemon

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/settings"
)

// Guards against metrics of the host list that no operator can read, because
// they are kept in a registry of their own.
func TestHostListCountsInTheDaemonsRegistry(t *testing.T) {
	g := NewWithT(t)
	tokens := filepath.Join(t.TempDir(), "tokens.ini")
	g.Expect(os.WriteFile(tokens, []byte("[token anna]\nsha256 = "+strings.Repeat("0", 64)+"\nrole = read\n"), 0o600)).To(Succeed())
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &settings.Settings{Host: "entry-1", Region: "north", FailureDomain: "a", StoreURL: "http://127.0.0.1:1", HostListURL: "http://127.0.0.1:1", TokensFile: tokens}
	s.HTTP.Listen, s.RPC.Listen = "127.0.0.1:0", "127.0.0.1:0"
	o, err := FromSettings(s, log)
	g.Expect(err).NotTo(HaveOccurred())
	d, err := New(o)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _, _ = d.httpL.Close(), d.rpcL.Close() }()
	g.Expect(d.metrics.Get("hostlist.calls")).NotTo(BeNil())
}
