// Package tlsconf loads TLS certificates from files, and reloads changed files
// without a restart.
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

// PollInterval is the interval that entry hosts pass to Run.
const PollInterval = 10 * time.Second

// maxFileBytes is the maximum size of each file.
const maxFileBytes = 1 << 20

// Files are paths of PEM files.
type Files struct {
	Certificate string
	Key         string
	// CA has the certificates to which the certificate of the peer must chain.
	// It may be empty for servers that request no client certificate.
	CA string
	// SameCA requires Certificate to chain to CA too, as between entry hosts.
	SameCA bool
}

// Source provides TLS configurations with the certificate and CA loaded last. It is
// safe for concurrent use.
type Source struct {
	files Files
	now   func() time.Time
	// reloadMutex serializes calls of Reload.
	reloadMutex sync.Mutex
	current     atomic.Pointer[fileSet]
}

// fileSet is the loaded content of files that parseFiles accepted.
type fileSet struct {
	// content is that of the certificate, key and CA files.
	content     [3][]byte
	certificate tls.Certificate
	// caPool is nil without a CA.
	caPool *x509.CertPool
}

// New loads the files. The error names the file that is missing, malformed, expired
// or not yet valid, or the files that do not match. now is the wall clock for
// checks of validity, also in handshakes.
func New(files Files, now func() time.Time) (*Source, error) {
	s := &Source{files: files, now: now}
	content, err := files.read()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m, err := parseFiles(files, content, now())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.current.Store(m)
	return s, nil
}

// Reload loads the files if their content changed, and reports whether it did.
// After an error the previous certificates stay in use.
func (s *Source) Reload() (bool, error) {
	s.reloadMutex.Lock()
	defer s.reloadMutex.Unlock()
	content, err := s.files.read()
	if err != nil {
		return false, trace.Wrap(err)
	}
	old := s.current.Load()
	unchanged := true
	for i := range content {
		unchanged = unchanged && bytes.Equal(content[i], old.content[i])
	}
	if unchanged {
		return false, nil
	}
	m, err := parseFiles(s.files, content, s.now())
	if err != nil {
		return false, trace.Wrap(err)
	}
	s.current.Store(m)
	return true, nil
}

// Run calls Reload at each interval until ctx ends. It calls report with nil after
// each reload of changed files, and with each error that differs from that of the
// previous Reload.
func (s *Source) Run(ctx context.Context, interval time.Duration, report func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	previousError := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		reloaded, err := s.Reload()
		errorText := ""
		if err != nil {
			errorText = err.Error()
		}
		if reloaded || errorText != "" && errorText != previousError {
			report(err)
		}
		previousError = errorText
	}
}

// Expires returns the time at which the current certificate expires.
func (s *Source) Expires() time.Time { return s.current.Load().certificate.Leaf.NotAfter }

// ServerConfig returns the TLS configuration of a server, for TLS 1.3 only. Each new
// connection uses the files loaded last. With a CA, clients must present a
// certificate that chains to it.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current.Load().server(s.now), nil
		},
		// net/http requires a certificate source in the outer configuration.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		NextProtos: []string{"h2", "http/1.1"},
	}
}

// server returns the configuration of one connection.
func (m *fileSet) server(now func() time.Time) *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		NextProtos:   []string{"h2", "http/1.1"},
		Time:         now,
		// A resumed session would not be checked against a changed CA.
		SessionTicketsDisabled: true,
	}
	if m.caPool != nil {
		c.ClientCAs, c.ClientAuth = m.caPool, tls.RequireAndVerifyClientCert
	}
	return c
}

// ClientConfig returns the TLS configuration of one connection, for TLS 1.3 only.
// The server's certificate must chain to the CA and be valid for server, usually an
// IP address, without port.
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

// roots returns the CA. Without one it returns an empty pool, because nil would
// trust the certificates of the operating system.
func (m *fileSet) roots() *x509.CertPool {
	if m.caPool == nil {
		return x509.NewCertPool()
	}
	return m.caPool
}

// Dial connects to address, "IP:port", and completes the TLS handshake with the
// files loaded last. It can be used as http.Transport.DialTLSContext.
func (s *Source) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, trace.BadParameter("address %q: want IP:port", address)
	}
	dialer := tls.Dialer{Config: s.ClientConfig(host)}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, trace.Wrap(err)
}

// read returns the content of certificate, key and CA, nil for an empty path.
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

// parseFiles checks the content of the files, that the key belongs to the
// certificate and, with SameCA, that the certificate chains to the CA.
func parseFiles(f Files, content [3][]byte, now time.Time) (*fileSet, error) {
	certificate, err := tls.X509KeyPair(content[0], content[1])
	if err != nil {
		return nil, trace.BadParameter("certificate %s and key %s: %v", f.Certificate, f.Key, err)
	}
	if err := checkValidity(f.Certificate, certificate.Leaf, now); err != nil {
		return nil, err
	}
	m := &fileSet{content: content, certificate: certificate}
	if f.CA == "" {
		return m, nil
	}
	if m.caPool, err = parseCA(f.CA, content[2], now); err != nil {
		return nil, err
	}
	if f.SameCA {
		return m, verifyChain(f, &certificate, m.caPool, now)
	}
	return m, nil
}

// checkValidity checks that the certificate is valid at now.
func checkValidity(path string, c *x509.Certificate, now time.Time) error {
	if now.After(c.NotAfter) {
		return trace.BadParameter("%s: certificate %q expired at %s", path, c.Subject, c.NotAfter.Format(time.RFC3339))
	}
	if now.Before(c.NotBefore) {
		return trace.BadParameter("%s: certificate %q is not valid before %s", path, c.Subject, c.NotBefore.Format(time.RFC3339))
	}
	return nil
}

// parseCA reads certificates in PEM form. At least one must be valid; others that
// are expired or not yet valid are skipped, so that a file may have an old and a new
// CA during a change.
func parseCA(path string, text []byte, now time.Time) (*x509.CertPool, error) {
	pool, count := x509.NewCertPool(), 0
	var validityErr error
	for block, rest := pem.Decode(text); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, trace.BadParameter("%s: %v", path, err)
		}
		if !c.IsCA {
			return nil, trace.BadParameter("%s: certificate %q is not a CA certificate", path, c.Subject)
		}
		if err := checkValidity(path, c, now); err != nil {
			validityErr = err
			continue
		}
		pool.AddCert(c)
		count++
	}
	if count == 0 && validityErr != nil {
		return nil, validityErr
	}
	if count == 0 {
		return nil, trace.BadParameter("%s: holds no certificate; want at least one in PEM form", path)
	}
	return pool, nil
}

// verifyChain checks that the certificate chains to the CA for servers and clients.
func verifyChain(f Files, certificate *tls.Certificate, pool *x509.CertPool, now time.Time) error {
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
