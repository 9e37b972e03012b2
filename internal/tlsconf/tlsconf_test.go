package tlsconf_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/tlsconf"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// now is the clock of all tests.
func now() time.Time { return start }

// authority is a CA that issues certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// pem is the certificate in PEM form.
	pem []byte
}

// newAuthority returns a self-signed CA whose certificate is valid from one hour
// before start until end.
func newAuthority(g *WithT, name string, end time.Time) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: start.Add(-time.Hour), NotAfter: end,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	c, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	return &authority{c, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue returns a certificate for 127.0.0.1, valid from begin to end, and its key,
// both in PEM form.
func (a *authority) issue(g *WithT, name string, begin, end time.Time) ([]byte, []byte) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotBefore: begin, NotAfter: end,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	g.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
}

// writeFiles writes the files to dir and returns their paths.
func writeFiles(g *WithT, dir string, certificate, key, ca []byte) tlsconf.Files {
	f := tlsconf.Files{Certificate: filepath.Join(dir, "a.crt"), Key: filepath.Join(dir, "a.key"), CA: filepath.Join(dir, "ca.crt"), SameCA: true}
	g.Expect(os.WriteFile(f.Certificate, certificate, 0o600)).To(Succeed())
	g.Expect(os.WriteFile(f.Key, key, 0o600)).To(Succeed())
	g.Expect(os.WriteFile(f.CA, ca, 0o600)).To(Succeed())
	return f
}

// Guards against expired, malformed or mismatched files that New accepts, so that
// handshakes fail later, and against errors that do not name the file.
func TestNewNamesTheInvalidFile(t *testing.T) {
	g := NewWithT(t)
	year := start.AddDate(1, 0, 0)
	ca, otherCA := newAuthority(g, "ca", year), newAuthority(g, "other-ca", year)
	expiredCA := newAuthority(g, "old-ca", start.Add(-time.Minute))
	good, key := ca.issue(g, "host", start.Add(-time.Hour), year)
	expired, expiredKey := ca.issue(g, "host", start.Add(-time.Hour), start.Add(-time.Second))
	future, futureKey := ca.issue(g, "host", start.Add(time.Hour), year)
	for _, c := range []struct {
		desc                 string
		certificate, key, ca []byte
		want                 string
	}{
		{"good", good, key, ca.pem, ""},
		{"old and new CA", good, key, append(append([]byte{}, expiredCA.pem...), ca.pem...), ""},
		{"expired", expired, expiredKey, ca.pem, `a.crt: certificate "CN=host" expired at 2025-12-31T23:59:59Z`},
		{"not yet valid", future, futureKey, ca.pem, "is not valid before 2026-01-01T01:00:00Z"},
		{"key of another certificate", good, expiredKey, ca.pem, "a.key: tls: private key does not match public key"},
		{"no certificate", nil, key, ca.pem, "a.crt and key"},
		{"other CA", good, key, otherCA.pem, "does not match CA"},
		{"expired CA", good, key, expiredCA.pem, `ca.crt: certificate "CN=old-ca" expired`},
		{"empty CA", good, key, nil, "ca.crt: holds no certificate"},
		{"certificate as CA", good, key, good, `ca.crt: certificate "CN=host" is not a CA certificate`},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			_, err := tlsconf.New(writeFiles(g, t.TempDir(), c.certificate, c.key, c.ca), now)
			if c.want == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
	_, err := tlsconf.New(tlsconf.Files{Certificate: filepath.Join(t.TempDir(), "missing.crt")}, now)
	g.Expect(err).To(MatchError(ContainSubstring("missing.crt: no such file")))
}

// Guards against a server that accepts clients of another CA, needs a restart for a
// new certificate, or stops using its certificate when the file becomes malformed.
func TestReloadWhileServing(t *testing.T) {
	g := NewWithT(t)
	year := start.AddDate(1, 0, 0)
	ca, otherCA := newAuthority(g, "ca", year), newAuthority(g, "other-ca", year)
	certificate, key := ca.issue(g, "first", start.Add(-time.Hour), year)
	dir := t.TempDir()
	files := writeFiles(g, dir, certificate, key, ca.pem)
	source, err := tlsconf.New(files, now)
	g.Expect(err).NotTo(HaveOccurred())
	otherCACertificate, otherCAKey := otherCA.issue(g, "stranger", start.Add(-time.Hour), year)
	otherCAFiles := writeFiles(g, t.TempDir(), otherCACertificate, otherCAKey, ca.pem)
	otherCAFiles.SameCA = false
	otherCASource, err := tlsconf.New(otherCAFiles, now)
	g.Expect(err).NotTo(HaveOccurred())

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{TLSConfig: source.ServerConfig(), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.TLS.PeerCertificates[0].Subject.CommonName)
	})}
	go func() { _ = server.ServeTLS(listener, "", "") }()
	defer server.Close()
	get := func(s *tlsconf.Source) (string, error) {
		client := &http.Client{Transport: &http.Transport{DialTLSContext: s.Dial, DisableKeepAlives: true}}
		answer, err := client.Get("https://" + listener.Addr().String())
		if err != nil {
			return "", err
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		return string(body), err
	}
	body, err := get(source)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("first"))
	_, err = get(otherCASource)
	g.Expect(err).To(HaveOccurred())

	changed, err := source.Reload()
	g.Expect([]any{changed, err}).To(Equal([]any{false, nil}))
	certificate, key = ca.issue(g, "second", start.Add(-time.Hour), year)
	writeFiles(g, dir, certificate, key, ca.pem)
	changed, err = source.Reload()
	g.Expect([]any{changed, err}).To(Equal([]any{true, nil}))
	body, err = get(source)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("second"))

	writeFiles(g, dir, []byte("damaged"), key, ca.pem)
	_, err = source.Reload()
	g.Expect(err).To(MatchError(ContainSubstring("a.crt")))
	body, err = get(source)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("second"))
	g.Expect(source.Expires()).To(Equal(year))
}

// Guards against a Run that misses changes, or that reports the same error at each
// interval, and against a server that allows versions of TLS before 1.3.
func TestRunReportsChanges(t *testing.T) {
	g := NewWithT(t)
	ca := newAuthority(g, "ca", start.AddDate(1, 0, 0))
	certificate, key := ca.issue(g, "first", start.Add(-time.Hour), start.AddDate(1, 0, 0))
	dir := t.TempDir()
	source, err := tlsconf.New(writeFiles(g, dir, certificate, key, ca.pem), now)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reports := make(chan error, 100)
	go source.Run(ctx, time.Millisecond, func(err error) { reports <- err })
	g.Expect(os.WriteFile(filepath.Join(dir, "a.crt"), []byte("damaged"), 0o600)).To(Succeed())
	g.Eventually(reports, "5s").Should(Receive(HaveOccurred()))
	g.Consistently(reports, "30ms").ShouldNot(Receive())
	next, nextKey := ca.issue(g, "second", start.Add(-time.Hour), start.AddDate(1, 0, 0))
	writeFiles(g, dir, next, nextKey, ca.pem)
	g.Eventually(reports, "5s").Should(Receive(BeNil()))
	g.Expect(source.ServerConfig().MinVersion).To(Equal(uint16(tls.VersionTLS13)))
}
