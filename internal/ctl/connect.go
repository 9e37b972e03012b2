package ctl

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
)

// Environment variables that replace connection flags.
const (
	envAdmin     = "GALENABEAM_ADMIN"
	envTokenFile = "GALENABEAM_TOKEN_FILE"
	envCA        = "GALENABEAM_CA"
	envCert      = "GALENABEAM_CERT"
	envKey       = "GALENABEAM_KEY"
	envEntry     = "GALENABEAM_ENTRY"
)

// maxCredentialBytes bounds a token or PEM file.
const maxCredentialBytes = 1 << 20

// connection holds the flags that tell how to reach the administration API.
type connection struct {
	admin, tokenFile, ca, cert, key string
	insecure                        bool
}

// connect defines the connection flags. A flag takes precedence over its
// environment variable.
func (i *invocation) connect() *connection {
	c := &connection{}
	define := func(value *string, name, env, usage string) {
		i.flags.StringVar(value, name, i.Getenv(env), usage+" (environment: "+env+")")
	}
	define(&c.admin, "admin", envAdmin, "`ADDRESS` (IP:port) of an entry host's administration API")
	define(&c.tokenFile, "token-file", envTokenFile, "`FILE` that holds the token")
	define(&c.ca, "ca", envCA, "`FILE` of CA certificates (PEM) that the server must chain to; by default those of the system")
	define(&c.cert, "cert", envCert, "`FILE` of the client certificate (PEM)")
	define(&c.key, "key", envKey, "`FILE` of the client certificate's key (PEM)")
	i.flags.BoolVar(&c.insecure, "insecure-loopback", false, "use plain HTTP; allowed for loopback addresses only")
	return c
}

// open checks the flags and returns a client. It sends nothing.
func (c *connection) open() (*apiClient, error) {
	if c.admin == "" {
		return nil, usagef("-admin or %s is required", envAdmin)
	}
	if c.tokenFile == "" {
		return nil, usagef("-token-file or %s is required", envTokenFile)
	}
	host, port, err := net.SplitHostPort(c.admin)
	if err != nil || host == "" || port == "" || strings.ContainsAny(c.admin, "/@?# ") {
		return nil, usagef("-admin %q: want IP:port", c.admin)
	}
	if (c.cert == "") != (c.key == "") {
		return nil, usagef("-cert and -key belong together")
	}
	scheme := "https"
	if c.insecure {
		address, err := netip.ParseAddr(host)
		if err != nil || !address.IsLoopback() {
			return nil, usagef("-insecure-loopback: %q is not a loopback address", host)
		}
		if c.ca != "" || c.cert != "" {
			return nil, usagef("-insecure-loopback excludes -ca, -cert and -key")
		}
		scheme = "http"
	}
	token, err := readToken(c.tokenFile)
	if err != nil {
		return nil, err
	}
	settings, err := c.tls()
	if err != nil {
		return nil, err
	}
	return newAPIClient(scheme+"://"+c.admin, token, settings), nil
}

// readToken returns the secret in the file. No error shows any of it.
func readToken(path string) (string, error) {
	text, err := readLimited(path, maxCredentialBytes)
	if err != nil {
		return "", fmt.Errorf("token file: %w", err)
	}
	token := string(bytes.TrimSpace(text))
	if token == "" || strings.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", fmt.Errorf("token file %s: want one word of printable ASCII characters", path)
	}
	return token, nil
}

func (c *connection) tls() (*tls.Config, error) {
	settings := &tls.Config{MinVersion: tls.VersionTLS13}
	if c.ca != "" {
		text, err := readLimited(c.ca, maxCredentialBytes)
		if err != nil {
			return nil, fmt.Errorf("CA file: %w", err)
		}
		settings.RootCAs = x509.NewCertPool()
		if !settings.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("CA file %s: holds no certificate in PEM form", c.ca)
		}
	}
	if c.cert != "" {
		pair, err := tls.LoadX509KeyPair(c.cert, c.key)
		if err != nil {
			return nil, fmt.Errorf("client certificate: %w", err)
		}
		settings.Certificates = []tls.Certificate{pair}
	}
	return settings, nil
}

// readLimited reads a whole file of at most limit bytes.
func readLimited(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readAll(file, path, limit)
}

func readAll(r io.Reader, name string, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if int64(len(text)) > limit {
		return nil, fmt.Errorf("%s: has more than %d bytes", name, limit)
	}
	return text, nil
}

// readFile reads the file of an argument; "-" stands for standard input.
func (i *invocation) readFile(path string, limit int64) ([]byte, error) {
	if path != "-" {
		return readLimited(path, limit)
	}
	if i.Stdin == nil {
		return nil, errors.New("no standard input")
	}
	return readAll(i.Stdin, "standard input", limit)
}
