package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/host"
)

const (
	wantName   = "want 1 to 63 characters of a-z, 0-9 and -"
	wantListen = "want IP:port in canonical form, with a port from 1 to 65535"
	wantURL    = "want http://IP:port or https://IP:port, optionally with a path"
	wantPath   = "want the path of a file"
)

// settingsKeys lists all keys of a settings file.
var settingsKeys = []keySpec[Settings]{
	{"host", "id", wantName, true, func(s *Settings, v string) bool {
		s.Host = host.ID(v)
		return config.ValidName(v)
	}},
	{"host", "region", wantName, true, func(s *Settings, v string) bool {
		s.Region = v
		return config.ValidName(v)
	}},
	{"host", "failure-domain", wantName, true, func(s *Settings, v string) bool {
		s.FailureDomain = v
		return config.ValidName(v)
	}},
	addressKey("http", "listen", true, func(s *Settings) *string { return &s.HTTP.Listen }),
	addressKey("http", "advertise", false, func(s *Settings) *string { return &s.HTTP.Advertise }),
	{"http", "max-body-bytes", "want a whole number from 1 to 1099511627776", false, func(s *Settings, v string) bool {
		return setInt(&s.MaxBodyBytes, v, 1, config.MaxBytes)
	}},
	addressKey("rpc", "listen", true, func(s *Settings) *string { return &s.RPC.Listen }),
	addressKey("rpc", "advertise", false, func(s *Settings) *string { return &s.RPC.Advertise }),
	pathKey("rpc", "certificate", func(s *Settings) *string { return &s.PeerTLS.Certificate }),
	pathKey("rpc", "key", func(s *Settings) *string { return &s.PeerTLS.Key }),
	pathKey("rpc", "ca", func(s *Settings) *string { return &s.PeerTLS.CA }),
	addressKey("admin", "listen", true, func(s *Settings) *string { return &s.Admin.Listen }),
	addressKey("admin", "advertise", false, func(s *Settings) *string { return &s.Admin.Advertise }),
	pathKey("admin", "certificate", func(s *Settings) *string { return &s.AdminTLS.Certificate }),
	pathKey("admin", "key", func(s *Settings) *string { return &s.AdminTLS.Key }),
	pathKey("admin", "ca", func(s *Settings) *string { return &s.AdminTLS.CA }),
	{"admin", "tokens-file", wantPath, true, func(s *Settings, v string) bool {
		s.TokensFile = v
		return validPath(v)
	}},
	urlKey("platform", "store-url", func(s *Settings) *string { return &s.StoreURL }),
	urlKey("platform", "host-list-url", func(s *Settings) *string { return &s.HostListURL }),
	durationKey("limits", "shutdown-limit", time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.ShutdownLimit }),
	durationKey("limits", "header-timeout", 100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.HeaderTimeout }),
	{"limits", "max-header-bytes", "want a whole number from 4096 to 1048576", false, func(s *Settings, v string) bool {
		return setInt(&s.MaxHeaderBytes, v, 4096, 1<<20)
	}},
	{"security", "plain-text-on-loopback", "want true or false", false, func(s *Settings, v string) bool {
		s.PlainTextOnLoopback = v == "true"
		return v == "true" || v == "false"
	}},
	{"log", "level", "want panic, fatal, error, warning, info, debug or trace", false, func(s *Settings, v string) bool {
		_, err := logrus.ParseLevel(v)
		s.LogLevel = v
		return err == nil
	}},
}

// addressKey describes a key for "IP:port". ptr returns where its value is stored.
func addressKey(section, name string, required bool, ptr func(*Settings) *string) keySpec[Settings] {
	return keySpec[Settings]{section, name, wantListen, required, func(s *Settings, v string) bool {
		*ptr(s) = v
		return config.ValidAddress(v)
	}}
}

func urlKey(section, name string, ptr func(*Settings) *string) keySpec[Settings] {
	return keySpec[Settings]{section, name, wantURL, true, func(s *Settings, v string) bool {
		*ptr(s) = v
		u, err := url.Parse(v)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && config.ValidAddress(u.Host) &&
			u.User == nil && u.RawQuery == "" && u.Fragment == ""
	}}
}

func pathKey(section, name string, ptr func(*Settings) *string) keySpec[Settings] {
	return keySpec[Settings]{section, name, wantPath, false, func(s *Settings, v string) bool {
		*ptr(s) = v
		return validPath(v)
	}}
}

func validPath(v string) bool { return v != "" && len(v) <= 4096 }

func durationKey(section, name string, low, high time.Duration, ptr func(*Settings) *time.Duration) keySpec[Settings] {
	want := fmt.Sprintf("want a duration from %v to %v", low, high)
	return keySpec[Settings]{section, name, want, false, func(s *Settings, v string) bool {
		d, err := time.ParseDuration(v)
		*ptr(s) = d
		return err == nil && d >= low && d <= high
	}}
}

// setInt stores v in dst and reports whether it is a whole number from low to high.
func setInt[I int | int64](dst *I, v string, low, high I) bool {
	n, err := strconv.ParseInt(v, 10, 64)
	*dst = I(n)
	return err == nil && I(n) >= low && I(n) <= high
}

// check checks settings against each other, and sets an empty Advertise to Listen.
func check(s *Settings, problems *Problems) {
	checkAddress("http", &s.HTTP, problems)
	checkAddress("rpc", &s.RPC, problems)
	checkAddress("admin", &s.Admin, problems)
	sectionByListen := make(map[string]string)
	for _, a := range []struct{ section, listen string }{{"http", s.HTTP.Listen}, {"rpc", s.RPC.Listen}, {"admin", s.Admin.Listen}} {
		if other := sectionByListen[a.listen]; other != "" && a.listen != "" {
			problems.add(a.section, "listen", a.listen, "want another address than section "+other)
		}
		sectionByListen[a.listen] = a.section
	}
	checkTLS("rpc", s.RPC, s.PeerTLS, true, s.PlainTextOnLoopback, problems)
	checkTLS("admin", s.Admin, s.AdminTLS, false, s.PlainTextOnLoopback, problems)
}

// checkAddress sets an empty advertised address to the listen address, and checks
// that it is not an unspecified one, to which others cannot connect.
func checkAddress(section string, a *Address, problems *Problems) {
	listen, err := netip.ParseAddrPort(a.Listen)
	if err != nil {
		return // Already reported for the key listen.
	}
	if a.Advertise == "" {
		if listen.Addr().IsUnspecified() {
			problems.add(section, "", "", "key advertise is missing; it is required when listen is an unspecified address; "+wantListen)
		}
		a.Advertise = a.Listen
	} else if advertise, err := netip.ParseAddrPort(a.Advertise); err == nil && advertise.Addr().IsUnspecified() {
		problems.add(section, "advertise", a.Advertise, "want an address that others can connect to")
	}
}

// checkTLS checks that an address has all TLS files that it needs, or none and may
// use plain text.
func checkTLS(section string, a Address, files TLSFiles, needCA, plainText bool, problems *Problems) {
	if files == (TLSFiles{}) {
		listen, err := netip.ParseAddrPort(a.Listen)
		if err == nil && !(plainText && listen.Addr().IsLoopback()) {
			problems.add(section, "", "", "keys certificate and key are missing; plain text needs a loopback address and [security] plain-text-on-loopback = true")
		}
		return
	}
	for _, f := range []struct {
		key, value string
		required   bool
	}{{"certificate", files.Certificate, true}, {"key", files.Key, true}, {"ca", files.CA, needCA}} {
		if f.value == "" && f.required {
			problems.add(section, "", "", "key "+f.key+" is missing; "+wantPath+", together with the other TLS files")
		}
	}
}
