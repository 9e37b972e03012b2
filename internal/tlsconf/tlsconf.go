// Package tlsconf loads certificates from files for mutual TLS and loads them
// again when the files change, without a restart.
package tlsconf

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// PollInterval is how often Run looks for changed files.
const PollInterval = 10 * time.Second

// maxFileBytes bounds each file.
const maxFileBytes = 1 << 20

// Files are paths of PEM files.
type Files struct {
	Certificate string
	Key         string
	// CA holds the certificates that the other side's certificate must chain
	// to. It may be empty for servers that ask for no client certificate.
	CA string
	// SameCA tells that the own certificate must chain to CA too, as it does
	// between entry hosts.
	SameCA bool
}

// Source keeps the certificate and CA that were loaded last. It is safe for
// concurrent use.
type Source struct {
	files Files
	now   func() time.Time
	// reload makes reloads one after the other.
	reload  sync.Mutex
	current atomic.Pointer[material]
}

// material is one consistent set of loaded files.
type material struct {
	content     [3][]byte
	certificate tls.Certificate
	pool        *x509.CertPool
}

// New loads the files. The error tells which file is missing, malformed,
// expired, not yet valid or does not match the others. The wall clock now
// decides about validity.
func New(files Files, now func() time.Time) (*Source, error) {
	s := &Source{files: files, now: now}
	content, err := files.read()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m, err := parse(files, content, now())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.current.Store(m)
	return s, nil
}

// Reload loads the files again if they changed, and reports whether it did.
// After an error the earlier certificates stay in use.
func (s *Source) Reload() (bool, error) {
	s.reload.Lock()
	defer s.reload.Unlock()
	content, err := s.files.read()
	if err != nil {
		return false, trace.Wrap(err)
	}
	old := s.current.Load()
	same := true
	for i := range content {
		same = same && bytes.Equal(content[i], old.content[i])
	}
	if same {
		return false, nil
	}
	m, err := parse(s.files, content, s.now())
	if err != nil {
		return false, trace.Wrap(err)
	}
	s.current.Store(m)
	return true, nil
}

// Run reloads until ctx ends. It calls changed after each reload and each
// error; the same error in a row is reported once.
func (s *Source) Run(ctx context.Context, interval time.Duration, changed func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		done, err := s.Reload()
		text := ""
		if err != nil {
			text = err.Error()
		}
		if done || text != "" && text != last {
			changed(err)
		}
		last = text
	}
}

// Expires returns the end of the present certificate's validity.
func (s *Source) Expires() time.Time { return s.current.Load().certificate.Leaf.NotAfter }

// ServerConfig returns the configuration of a server. Each connection uses the files
// loaded last. With a CA, clients must present a certificate that chains to it.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current.Load().server(s.now), nil
		},
		// net/http needs a certificate source in the outer configuration.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		NextProtos: []string{"h2", "http/1.1"},
	}
}

func (m *material) server(now func() time.Time) *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		NextProtos:   []string{"h2", "http/1.1"},
		Time:         now,
		// A resumed session would skip the check against a changed CA.
		SessionTicketsDisabled: true,
	}
	if m.pool != nil {
		c.ClientCAs, c.ClientAuth = m.pool, tls.RequireAndVerifyClientCert
	}
	return c
}

// ClientConfig returns the configuration for one connection to a server whose
// certificate must chain to the CA and name the server, usually an IP address.
func (s *Source) ClientConfig(server string) *tls.Config {
	m := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   server,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.roots(),
		Time:         s.now,
	}
}

// roots returns the CA. Without one nothing is trusted, rather than the
// certificates of the operating system.
func (m *material) roots() *x509.CertPool {
	if m.pool == nil {
		return x509.NewCertPool()
	}
	return m.pool
}

// Dial connects and completes the handshake with the files loaded last. It
// fits http.Transport.DialTLSContext.
func (s *Source) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, trace.BadParameter("address %q: want IP:port", address)
	}
	dialer := tls.Dialer{Config: s.ClientConfig(host)}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, trace.Wrap(err)
}

// read returns the content of the files, in the order certificate, key, CA.
func (f Files) read() ([3][]byte, error) {
	var content [3][]byte
	for i, path := range []string{f.Certificate, f.Key, f.CA} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return content, trace.ConvertSystemError(err)
		}
		if info.Size() > maxFileBytes || !info.Mode().IsRegular() {
			return content, trace.BadParameter("%s: want a regular file of at most %d bytes", path, maxFileBytes)
		}
		if content[i], err = os.ReadFile(path); err != nil {
			return content, trace.ConvertSystemError(err)
		}
	}
	return content, nil
}

func parse(f Files, content [3][]byte, now time.Time) (*material, error) {
	certificate, err := tls.X509KeyPair(content[0], content[1])
	if err != nil {
		return nil, trace.BadParameter("certificate %s and key %s: %v", f.Certificate, f.Key, err)
	}
	if err := valid(f.Certificate, certificate.Leaf, now); err != nil {
		return nil, err
	}
	m := &material{content: content, certificate: certificate}
	if f.CA == "" {
		return m, nil
	}
	if m.pool, err = parseCA(f.CA, content[2], now); err != nil {
		return nil, err
	}
	if f.SameCA {
		return m, chains(f, &certificate, m.pool, now)
	}
	return m, nil
}

// valid checks the dates of a certificate.
func valid(path string, c *x509.Certificate, now time.Time) error {
	if now.After(c.NotAfter) {
		return trace.BadParameter("%s: certificate %q expired at %s", path, c.Subject, c.NotAfter.Format(time.RFC3339))
	}
	if now.Before(c.NotBefore) {
		return trace.BadParameter("%s: certificate %q is not valid before %s", path, c.Subject, c.NotBefore.Format(time.RFC3339))
	}
	return nil
}

// parseCA reads certificates. Expired ones are left out, so that a file may
// hold an old and a new CA during a change, but one must be valid.
func parseCA(path string, text []byte, now time.Time) (*x509.CertPool, error) {
	pool, count := x509.NewCertPool(), 0
	var outdated error
	for block, rest := pem.Decode(text); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, trace.BadParameter("%s: %v", path, err)
		}
		if !c.IsCA {
			return nil, trace.BadParameter("%s: certificate %q is no CA certificate", path, c.Subject)
		}
		if err := valid(path, c, now); err != nil {
			outdated = err
			continue
		}
		pool.AddCert(c)
		count++
	}
	if count == 0 && outdated != nil {
		return nil, outdated
	}
	if count == 0 {
		return nil, trace.BadParameter("%s: holds no certificate; want at least one in PEM form", path)
	}
	return pool, nil
}

// chains checks that the own certificate is signed by the CA and serves both
// sides of a connection.
func chains(f Files, certificate *tls.Certificate, pool *x509.CertPool, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, der := range certificate.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(c)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := certificate.Leaf.Verify(x509.VerifyOptions{
			Roots: pool, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return trace.BadParameter("certificate %s does not match CA %s: %v", f.Certificate, f.CA, err)
		}
	}
	return nil
}
