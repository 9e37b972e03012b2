// Package settings reads the settings of one galenabeamd process without -platform:
// its host id, region and failure domain, addresses, files and limits. The
// configuration of the deployment is a separate type, config.Config.
package settings

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenabeam/galenabeam/internal/host"
)

// Defaults of optional keys. Sizes are in bytes.
const (
	DefaultShutdownLimit  = 120 * time.Second
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxBodyBytes   = int64(64 << 20)
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultLogLevel       = "info"
)

// maxFileBytes bounds the settings file and each file that it names.
const maxFileBytes = 1 << 20

// Settings are the settings of one process. Addresses are "IP:port".
type Settings struct {
	Host          host.ID
	Region        string
	FailureDomain string
	// HTTP is the address for callers, RPC for other entry hosts, Admin for
	// operators.
	HTTP, RPC, Admin Address
	StoreURL         string
	HostListURL      string
	// AdminTLS and PeerTLS are empty when the address uses plain text.
	AdminTLS, PeerTLS TLSFiles
	// TokensFile is the path of the file that LoadTokens reads.
	TokensFile string
	// PlainTextOnLoopback allows Admin and RPC without TLS on loopback addresses.
	PlainTextOnLoopback bool
	// ShutdownLimit is the time after which a graceful shutdown cancels the requests
	// still in flight. The process exits shortly afterwards.
	ShutdownLimit time.Duration
	// MaxHeaderBytes is the maximum size of a request header on any address.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of the body of a caller's request.
	MaxBodyBytes int64
	// HeaderTimeout is the time within which a request header must arrive.
	HeaderTimeout time.Duration
	// LogLevel is the name of a logrus level.
	LogLevel string
}

// Address has the "IP:port" to listen on and the one advertised to others.
type Address struct {
	Listen    string
	Advertise string
}

// TLSFiles are paths of PEM files.
type TLSFiles struct {
	Certificate string
	Key         string
	// CA has the certificates to which the certificate of the peer must chain. It
	// may be empty only for the administration API, which then requests no client
	// certificate.
	CA string
}

// Enabled reports whether TLS is in use.
func (f TLSFiles) Enabled() bool { return f.Certificate != "" }

// Load reads and checks the settings file at path, and then checks that each file
// that it names is a readable regular file of at most 1 MiB. Each step reports all
// its problems together as *Problems.
func Load(path string) (*Settings, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, trace.Wrap(err, "settings file %s", path)
	}
	var problems Problems
	for _, f := range []struct{ section, key, path string }{
		{"admin", "certificate", s.AdminTLS.Certificate}, {"admin", "key", s.AdminTLS.Key}, {"admin", "ca", s.AdminTLS.CA},
		{"rpc", "certificate", s.PeerTLS.Certificate}, {"rpc", "key", s.PeerTLS.Key}, {"rpc", "ca", s.PeerTLS.CA},
		{"admin", "tokens-file", s.TokensFile},
	} {
		if f.path == "" {
			continue
		}
		if _, err := readFile(f.path); err != nil {
			problems.add(f.section, f.key, f.path, "want a readable file of at most 1 MiB: "+err.Error())
		}
	}
	if err := problems.err(); err != nil {
		return nil, trace.Wrap(err, "settings file %s", path)
	}
	return s, nil
}

// readFile returns the content of a regular file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if !info.Mode().IsRegular() {
		return nil, trace.BadParameter("%s is not a regular file", path)
	}
	if info.Size() > maxFileBytes {
		return nil, trace.LimitExceeded("%s has %d bytes; want at most %d", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	return text, trace.ConvertSystemError(err)
}
