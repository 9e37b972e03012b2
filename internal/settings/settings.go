// Package settings reads the settings of one galenabeamd process: where it
// runs, its addresses, files and limits. The configuration of the service is a
// separate type, config.Config.
package settings

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenabeam/galenabeam/internal/host"
)

// Defaults of optional keys.
const (
	DefaultShutdownLimit  = 120 * time.Second
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxBodyBytes   = int64(64 << 20)
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultLogLevel       = "info"
)

// maxFileBytes bounds the settings file and the tokens file.
const maxFileBytes = 1 << 20

// Settings are the settings of one process. Addresses are "IP:port".
type Settings struct {
	Host          host.ID
	Region        string
	FailureDomain string
	// HTTP serves callers, RPC other entry hosts, Admin operators.
	HTTP, RPC, Admin Address
	StoreURL         string
	HostListURL      string
	// AdminTLS and PeerTLS are empty when the address uses plain text.
	AdminTLS, PeerTLS TLSFiles
	// TokensFile lists the tokens of the administration API.
	TokensFile string
	// PlainTextOnLoopback allows admin and RPC addresses without TLS if they
	// are loopback addresses.
	PlainTextOnLoopback bool
	// ShutdownLimit bounds a graceful shutdown.
	ShutdownLimit time.Duration
	// MaxHeaderBytes bounds the header of a request to any address.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time in which a client sends its header.
	HeaderTimeout time.Duration
	// LogLevel is a level of logrus.
	LogLevel string
}

// Address is where a process listens and what it tells others to use.
type Address struct {
	Listen    string
	Advertise string
}

// TLSFiles are paths of PEM files.
type TLSFiles struct {
	Certificate string
	Key         string
	// CA holds the certificates that the other side's certificate must chain to.
	CA string
}

// Enabled tells whether files are set.
func (f TLSFiles) Enabled() bool { return f.Certificate != "" }

// Load reads and checks the settings file at path, and checks that the files
// it names can be read. All problems are reported together as *Problems.
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
