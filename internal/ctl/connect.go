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

// Environment variables that hold the defaults of flags.
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

// connectionFlags are the flags for access to the administration API.
type connectionFlags struct {
	adminAddress, tokenFile, caFile, certFile, keyFile string
	insecureLoopback                                   bool
}

// defineConnectionFlags defines the connection flags. A flag takes precedence over
// its environment variable.
func (i *invocation) defineConnectionFlags() *connectionFlags {
	c := &connectionFlags{}
	define := func(value *string, name, env, usage string) {
		i.flags.StringVar(value, name, i.Getenv(env), usage+" (environment: "+env+")")
	}
	define(&c.adminAddress, "admin", envAdmin, "`ADDRESS` (IP:port) of an entry host's administration API")
	define(&c.tokenFile, "token-file", envTokenFile, "`FILE` that holds the token")
	define(&c.caFile, "ca", envCA, "`FILE` of CA certificates (PEM) that the server must chain to; by default those of the system")
	define(&c.certFile, "cert", envCert, "`FILE` of the client certificate (PEM)")
	define(&c.keyFile, "key", envKey, "`FILE` of the client certificate's key (PEM)")
	i.flags.BoolVar(&c.insecureLoopback, "insecure-loopback", false, "use plain HTTP; allowed for loopback addresses only")
	return c
}

// newClient returns a client for the checked flags. It opens no connection.
func (c *connectionFlags) newClient() (*apiClient, error) {
	if c.adminAddress == "" {
		return nil, usagef("-admin or %s is required", envAdmin)
	}
	if c.tokenFile == "" {
		return nil, usagef("-token-file or %s is required", envTokenFile)
	}
	host, port, err := net.SplitHostPort(c.adminAddress)
	if err != nil || host == "" || port == "" || strings.ContainsAny(c.adminAddress, "/@?# ") {
		return nil, usagef("-admin %q: want IP:port", c.adminAddress)
	}
	if (c.certFile == "") != (c.keyFile == "") {
		return nil, usagef("-cert and -key: want both or neither")
	}
	scheme := "https"
	if c.insecureLoopback {
		address, err := netip.ParseAddr(host)
		if err != nil || !address.IsLoopback() {
			return nil, usagef("-insecure-loopback: %q is not a loopback address", host)
		}
		if c.caFile != "" || c.certFile != "" {
			return nil, usagef("-insecure-loopback: want no -ca, -cert or -key")
		}
		scheme = "http"
	}
	token, err := readToken(c.tokenFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := c.tls()
	if err != nil {
		return nil, err
	}
	return newAPIClient(scheme+"://"+c.adminAddress, token, tlsConfig), nil
}

// readToken returns the token in the file. Its errors contain no part of the token.
func readToken(path string) (string, error) {
	text, err := readFile(path, maxCredentialBytes)
	if err != nil {
		return "", fmt.Errorf("token file: %w", err)
	}
	token := string(bytes.TrimSpace(text))
	if token == "" || strings.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", fmt.Errorf("token file %s: want one word of printable ASCII characters", path)
	}
	return token, nil
}

// tls returns the TLS settings for the flags.
func (c *connectionFlags) tls() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if c.caFile != "" {
		text, err := readFile(c.caFile, maxCredentialBytes)
		if err != nil {
			return nil, fmt.Errorf("CA file: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("CA file %s: holds no certificate in PEM form", c.caFile)
		}
	}
	if c.certFile != "" {
		pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
		if err != nil {
			return nil, fmt.Errorf("client certificate: %w", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// readFile reads a file of at most limit bytes.
func readFile(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readLimited(file, path, limit)
}

// readLimited reads r to its end; more than limit bytes are an error. Error texts
// start with name.
func readLimited(r io.Reader, name string, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if int64(len(text)) > limit {
		return nil, fmt.Errorf("%s: has more than %d bytes", name, limit)
	}
	return text, nil
}

// readInput reads a file of at most limit bytes; "-" stands for standard input.
func (i *invocation) readInput(path string, limit int64) ([]byte, error) {
	if path != "-" {
		return readFile(path, limit)
	}
	if i.Stdin == nil {
		return nil, errors.New("no standard input")
	}
	return readLimited(i.Stdin, "standard input", limit)
}
