package settings_test

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/settings"
)

// minimalSettings has the required keys only, and the switch that makes TLS files
// optional.
const minimalSettings = `[host]
id = h-1
region = east
failure-domain = a
[http]
listen = 127.0.0.1:8080
[rpc]
listen = 127.0.0.1:8081
[admin]
listen = 127.0.0.1:8082
tokens-file = tokens.ini
[platform]
store-url = http://127.0.0.1:2400
host-list-url = http://127.0.0.1:2401/hosts
[security]
plain-text-on-loopback = true
`

// Guards against a change of the keys that makes Parse refuse the example file.
func TestExampleIsAccepted(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("../../examples/galenabeamd.ini")
	g.Expect(err).NotTo(HaveOccurred())
	s, err := settings.Parse(text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.HTTP).To(Equal(settings.Address{Listen: "0.0.0.0:8080", Advertise: "192.0.2.11:8080"}))
	g.Expect(s.PeerTLS.Enabled()).To(BeTrue())
	g.Expect(s.ShutdownLimit).To(Equal(settings.DefaultShutdownLimit))
}

// Guards against optional keys whose absence is refused or does not give the default.
func TestDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Parse([]byte(minimalSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.RPC.Advertise).To(Equal("127.0.0.1:8081"))
	g.Expect(s.HeaderTimeout).To(Equal(5 * time.Second))
	g.Expect(s.AdminTLS.Enabled()).To(BeFalse())
}

// Guards against invalid settings that Parse accepts or ignores, or refuses with a
// message that does not name the section and key.
func TestParseNamesTheProblem(t *testing.T) {
	for _, c := range []struct{ desc, old, new, want string }{
		{"unknown section", "[security]", "[secuirty]", "[secuirty] unknown section; want one of host, http, rpc"},
		{"unknown key", "store-url =", "store =", `[platform] store = "http://127.0.0.1:2400": unknown key; want one of store-url, host-list-url`},
		{"missing key", "region = east\n", "", "[host] key region is missing; want 1 to 63"},
		{"missing section", "[platform]", "[log]", "[platform] key store-url is missing"},
		{"duplicate key", "region = east\n", "region = east\nregion = east\n", `[host] region = "east": duplicate key`},
		{"duplicate section", "[rpc]", "[http]", "[http] duplicate section"},
		{"keys before the first section", "[host]", "x = 1\n[host]", "[DEFAULT] unknown section"},
		{"bad name", "id = h-1", "id = h_1", `[host] id = "h_1": want 1 to 63 characters`},
		{"host name as address", "127.0.0.1:8081", "localhost:8081", `listen = "localhost:8081": want IP:port`},
		{"port zero", "127.0.0.1:8081", "127.0.0.1:0", "with a port from 1 to 65535"},
		{"same address twice", "127.0.0.1:8081", "127.0.0.1:8080", `[rpc] listen = "127.0.0.1:8080": want another address than section http`},
		{"host name in URL", "http://127.0.0.1:2400", "http://store:2400", `want http://IP:port`},
		{"URL with password", "http://127.0.0.1:2400", "http://a:b@127.0.0.1:2400", `want http://IP:port`},
		{"other scheme", "http://127.0.0.1:2400", "ftp://127.0.0.1:2400", `want http://IP:port`},
		{"plain text without switch", "= true", "= false", "[admin] keys certificate and key are missing"},
		{"plain text off loopback", "listen = 127.0.0.1:8082", "listen = 192.0.2.1:8082", "[admin] keys certificate and key are missing"},
		{"certificate without key", "tokens-file", "certificate = a.crt\ntokens-file", "[admin] key key is missing"},
		{"peers without CA", "[admin]", "certificate = a\nkey = b\n[admin]", "[rpc] key ca is missing"},
		{"unspecified address without advertise", "listen = 127.0.0.1:8080", "listen = 0.0.0.0:8080", "[http] key advertise is missing"},
		{"unspecified advertise", "listen = 127.0.0.1:8080", "listen = 0.0.0.0:8080\nadvertise = 0.0.0.0:8080", "want an address that others can connect to"},
		{"limit out of range", "[security]", "[limits]\nshutdown-limit = 2h\n[security]", `shutdown-limit = "2h": want a duration from 1s to 1h0m0s`},
		{"header limit out of range", "[security]", "[limits]\nmax-header-bytes = 1\n[security]", `want a whole number from 4096 to 1048576`},
		{"body limit out of range", "[rpc]", "max-body-bytes = 0\n[rpc]", `want a whole number from 1 to 1099511627776`},
		{"unknown log level", "[security]", "[log]\nlevel = loud\n[security]", `level = "loud": want panic, fatal`},
		{"switch", "= true", "= yes", `plain-text-on-loopback = "yes": want true or false`},
		{"no INI file", "[host]", "[host", "not an INI file"},
		{"too large", "[host]", "#" + strings.Repeat("x", 1<<20) + "\n[host]", "want at most 1048576"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(minimalSettings).To(ContainSubstring(c.old))
			_, err := settings.Parse([]byte(strings.Replace(minimalSettings, c.old, c.new, 1)))
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

// Guards against a Parse that stops at the first problem, so that an operator needs
// one start for each.
func TestAllProblemsAreReportedTogether(t *testing.T) {
	_, err := settings.Parse([]byte("[host]\nid = A\nx = 1\n"))
	NewWithT(t).Expect(err).To(MatchError(And(ContainSubstring(`id = "A"`), ContainSubstring(`x = "1"`),
		ContainSubstring("[platform] key store-url"), ContainSubstring("[rpc] key listen"))))
}

// Guards against a start without a file that the settings name, which would fail
// only when the file is needed.
func TestLoadChecksFiles(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "d.ini")
	_, err := settings.Load(path)
	g.Expect(err).To(MatchError(ContainSubstring("no such file")))
	tokens := filepath.Join(dir, "tokens.ini")
	g.Expect(os.WriteFile(path, []byte(strings.Replace(minimalSettings, "tokens.ini", tokens, 1)), 0o600)).To(Succeed())
	_, err = settings.Load(path)
	g.Expect(err).To(MatchError(ContainSubstring("[admin] tokens-file")))
	g.Expect(os.WriteFile(tokens, nil, 0o600)).To(Succeed())
	_, err = settings.Load(path)
	g.Expect(err).NotTo(HaveOccurred())
}

// tokenSection returns a section of the tokens file with the hash of secret and the
// lines of otherKeys.
func tokenSection(name, secret, otherKeys string) string {
	return fmt.Sprintf("[token %s]\nsha256 = %x\n%s\n", name, sha256.Sum256([]byte(secret)), otherKeys)
}

// Guards against tokens that allow more than their file states, and against invalid
// tokens files that are accepted.
func TestParseTokens(t *testing.T) {
	g := NewWithT(t)
	tokens, err := settings.ParseTokens([]byte(tokenSection("anna", "s1", "role = configure\nteams = tolur, tollur") + tokenSection("scraper", "s2", "role = read")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tokens).To(HaveLen(2))
	g.Expect(tokens[0].Hash).To(Equal(sha256.Sum256([]byte("s1"))))
	g.Expect(tokens[0].Teams).To(Equal([]string{"tolur", "tollur"}))
	g.Expect(settings.RoleOperate.Includes(settings.RoleRead)).To(BeTrue())
	g.Expect(settings.RoleOperate.Includes(settings.RoleConfigure)).To(BeFalse())
	g.Expect(settings.Role("root").Includes(settings.RoleRead)).To(BeFalse())

	for _, c := range []struct{ desc, text, want string }{
		{"empty", "", "want 1 to 1000 sections"},
		{"unknown role", tokenSection("a", "s", "role = root\nteams = *"), `role = "root": want read, operate or configure`},
		{"no teams", tokenSection("a", "s", "role = operate"), "key teams is missing"},
		{"bad team", tokenSection("a", "s", "role = read\nteams = A"), `teams = "A": want *`},
		{"no hash", "[token a]\nrole = read", "key sha256 is missing"},
		{"short hash", "[token a]\nsha256 = ab\nrole = read", "want 64 hexadecimal digits"},
		{"duplicate name", tokenSection("a", "s", "role = read") + tokenSection("a", "t", "role = read"), "duplicate section"},
		{"duplicate secret", tokenSection("a", "s", "role = read") + tokenSection("b", "s", "role = read"), "token a has it too"},
		{"unknown key", tokenSection("a", "s", "role = read\nsecret = x"), `secret = "x": unknown key`},
		{"unknown section", tokenSection("a", "s", "role = read") + "[x]", "[x] unknown section"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			_, err := settings.ParseTokens([]byte(c.text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

// Guards against panics on malformed text, and against accepted text without a host
// id or tokens.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(tokenSection("a", "s", "role = read")))
	f.Add([]byte("[a.b]\n- = 1\n[token a.b]\nx=%(y)s\n\"\"\"k\"\"\" = `"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := settings.Parse(text); err == nil && s.Host == "" {
			t.Fatal("accepted settings without a host id")
		}
		if tokens, err := settings.ParseTokens(text); err == nil && len(tokens) == 0 {
			t.Fatal("accepted a file without tokens")
		}
	})
}
