package ctl_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/examples/deployments"
	"github.com/galenabeam/galenabeam/internal/adapter/admin"
	"github.com/galenabeam/galenabeam/internal/ctl"
)

// result is the exit code and output of one run of galenabeamctl.
type result struct {
	code           int
	stdout, stderr string
}

// run executes a command line. An argument that starts with "@" names a file in
// dir.
func run(dir string, env map[string]string, line ...string) result {
	var out, errs bytes.Buffer
	args := make([]string, len(line))
	for i, word := range line {
		args[i] = word
		if name, found := strings.CutPrefix(word, "@"); found {
			args[i] = filepath.Join(dir, name)
		}
	}
	code := ctl.Run(context.Background(), args, ctl.Env{Stdin: strings.NewReader("not a configuration"), Stdout: &out, Stderr: &errs,
		Getenv: func(name string) string { return env[name] }})
	return result{code, out.String(), errs.String()}
}

// writeTestFiles writes tokens and configurations and returns their directory.
// same.ini is in force, changed.ini and third.ini differ from it in one value, and
// old.ini is changed.ini with a comment that names revision 1 as its base.
func writeTestFiles(t *testing.T) string {
	dir := t.TempDir()
	write := func(name, text string) { writeFile(NewWithT(t), dir, name, text) }
	print := func(change func(*config.Config)) string {
		c := deployments.Hagtal()
		change(c)
		var b bytes.Buffer
		NewWithT(t).Expect(config.Print(&b, c)).To(Succeed())
		return b.String()
	}
	for _, name := range []string{"reader", "operator", "root", "stranger"} {
		write(name, name+"-secret\n")
	}
	write("blank", " \n")
	write("two-words", "a-secret b\n")
	write("same.ini", print(func(*config.Config) {}))
	changed := print(func(c *config.Config) { c.Services[0].RetryShare = 0.25 })
	write("changed.ini", changed)
	write("old.ini", "# galenabeam revision 1 by \"anna\"\n"+changed)
	write("third.ini", print(func(c *config.Config) { c.Services[0].RetryShare = 0.3 }))
	write("bad.ini", "[service x]\nteem = y\n")
	return dir
}

func writeFile(g *WithT, dir, name, text string) {
	g.Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(Succeed())
}

// clientEnv returns the environment variables for a server and a token file.
func clientEnv(server *httptest.Server, dir, token string) map[string]string {
	return map[string]string{"GALENABEAM_ADMIN": server.Listener.Addr().String(), "GALENABEAM_TOKEN_FILE": filepath.Join(dir, token)}
}

// TestCommands guards against wrong exit codes, results on the wrong stream, and
// output with tokens or with control characters that a terminal would interpret.
func TestCommands(t *testing.T) {
	const plain = "-insecure-loopback"
	for _, c := range []struct {
		desc, token string
		line        []string
		code        int
		want        string
	}{
		{"no command", "root", nil, 2, "usage: galenabeamctl COMMAND"},
		{"unknown command", "root", []string{"frobnicate"}, 2, `unknown command "frobnicate"`},
		{"unknown second word of a command", "root", []string{"drain", "frobnicate"}, 2, "drain abort KIND TARGET"},
		{"help of a group", "root", []string{"help", "drain"}, 0, "drain start KIND TARGET"},
		{"help", "root", []string{"help"}, 0, "drain abort KIND TARGET"},
		{"help of a command", "root", []string{"help", "drain", "start"}, 0, "-wait"},
		{"help flag", "root", []string{"submit", "-h"}, 0, "-operation IDENTITY"},
		{"help of an unknown command", "root", []string{"help", "x"}, 2, `unknown command "x"`},
		{"bad flag", "root", []string{"show", "-nope"}, 2, "flag provided but not defined: -nope"},
		{"too many arguments", "root", []string{"status", plain, "x"}, 2, "want 0 arguments"},
		{"validate", "", []string{"validate", "@same.ini"}, 0, "same.ini: ok"},
		{"validate as JSON", "", []string{"validate", "@same.ini", "-json"}, 0, `"valid": true`},
		{"validate remotely", "reader", []string{"validate", plain, "-remote", "@same.ini"}, 0, "ok"},
		{"validate a bad file", "", []string{"validate", "@bad.ini"}, 1, "line 2: [service x] teem = y: unknown key"},
		{"validate standard input", "", []string{"validate", "-"}, 1, "before the first section"},
		{"validate a missing file", "", []string{"validate", "@none.ini"}, 1, "no such file"},
		{"diff of two files", "", []string{"diff", "@same.ini", "@changed.ini"}, 0, "0.1 -> 0.25"},
		{"diff as JSON", "", []string{"diff", "-json", "@same.ini", "@changed.ini"}, 0, `"new": "0.25"`},
		{"diff of equal files", "", []string{"diff", "@same.ini", "@same.ini"}, 0, "no changes"},
		{"diff from the revision in force", "reader", []string{"diff", plain, "@changed.ini"}, 0, "0.1 -> 0.25"},
		{"diff with an unknown revision", "reader", []string{"diff", plain, "-base", "9", "@changed.ini"}, 1, "not-found"},
		{"submit", "root", []string{"submit", plain, "-why", "load", "@changed.ini"}, 0, "revision 2\n"},
		{"submit as JSON", "root", []string{"submit", plain, "-operation", "op-1", "-json", "@changed.ini"}, 0, `"operation": "op-1"`},
		{"submit a bad file", "root", []string{"submit", plain, "@bad.ini"}, 1, "unknown key"},
		{"submit with a malformed operation", "root", []string{"submit", plain, "-operation", "a/b", "@changed.ini"}, 1, "bad-request"},
		{"submit with a bad base", "root", []string{"submit", plain, "-base", "-7", "@changed.ini"}, 2, "want a revision number"},
		{"submit without the role", "operator", []string{"submit", plain, "@changed.ini"}, 1, "forbidden: The token's role does not allow this: token operator has role operate; want configure"},
		{"refusal as JSON", "operator", []string{"submit", plain, "-json", "@changed.ini"}, 1, `"exit_code": 1`},
		{"wrong token", "stranger", []string{"status", plain}, 1, "unauthorized"},
		{"show", "reader", []string{"show", plain}, 0, "# galenabeam revision 1 by \"anna\" at 0001-01-01T00:00:00Z, why \"first\"\n[deployment]"},
		{"show as JSON", "reader", []string{"show", plain, "-revision", "1", "-json"}, 0, `"who": "anna"`},
		{"show an unknown revision", "reader", []string{"show", plain, "-revision", "9"}, 1, "not-found"},
		{"status", "reader", []string{"status", plain}, 0, "mottaka/austur"},
		{"status shows no control characters", "reader", []string{"status", plain}, 0, "leaving?[2J"},
		{"status of a region as JSON", "reader", []string{"status", plain, "-region", "austur", "-json"}, 0, `"revision": 8`},
		{"status of a bad region", "reader", []string{"status", plain, "-region", "A"}, 2, "-region"},
		{"dump", "reader", []string{"dump", plain}, 0, `"epoch": 4`},
		{"metrics", "reader", []string{"dump", plain, "-metrics"}, 0, "galenabeam_admin_requests_total 1"},
		{"no drains", "reader", []string{"drain", "list", plain}, 0, "no drains"},
		{"drains as JSON", "reader", []string{"drain", "list", plain, "-json"}, 0, `"drains": []`},
		{"drain", "operator", []string{"drain", "start", "region", "austur", plain}, 0, "revision 2: drain of region austur"},
		{"drain without the role", "reader", []string{"drain", "start", "region", "austur", plain}, 1, "forbidden"},
		{"drain of a bad kind", "operator", []string{"drain", "start", "host", "austur", plain}, 2, `kind "host"`},
		{"drain of a bad target", "operator", []string{"drain", "start", "region", "austur/a", plain}, 2, `target "austur/a"`},
		{"drain of an unknown target", "operator", []string{"drain", "start", "failure-domain", "austur/z", plain}, 1, "invalid-config"},
		{"abort of an absent drain", "operator", []string{"drain", "abort", "failure-domain", "austur/a", plain}, 1, "not-found"},
		{"no address", "", []string{"status"}, 2, "-admin or GALENABEAM_ADMIN is required"},
		{"malformed address", "root", []string{"status", "-admin", "host"}, 2, "want IP:port"},
		{"no token", "root", []string{"status", "-token-file", ""}, 2, "-token-file or GALENABEAM_TOKEN_FILE is required"},
		{"blank token", "blank", []string{"status", plain}, 1, "want one word"},
		{"malformed token", "two-words", []string{"status", plain}, 1, "want one word"},
		{"plain HTTP to an address that is not loopback", "root", []string{"status", plain, "-admin", "192.0.2.1:8082"}, 2, "not a loopback address"},
		{"plain HTTP with TLS files", "root", []string{"status", plain, "-ca", "@same.ini"}, 2, "want no -ca"},
		{"certificate without key", "root", []string{"status", "-cert", "@same.ini"}, 2, "want both or neither"},
		{"CA file without certificate", "root", []string{"status", "-ca", "@same.ini"}, 1, "holds no certificate"},
		{"TLS to a plain HTTP server", "root", []string{"status"}, 1, "server gave HTTP response"},
		{"unreachable host", "root", []string{"drain", "start", plain, "-admin", "127.0.0.1:1", "region", "austur"}, 1, "connection refused\n"},
		{"call without entry host", "", []string{"call"}, 2, "-entry or GALENABEAM_ENTRY is required"},
		{"call without service", "", []string{"call", "-entry", "127.0.0.1:1"}, 2, "no service"},
		{"call to an unreachable host", "", []string{"call", "-entry", "127.0.0.1:1", "-service", "s", "-rank", "r"}, 1, "no entry host gave a usable answer"},
		{"report of files without measurements", "", []string{"report", "@same.ini", "@same.ini"}, 1, "neither benchmark lines"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			server, _ := newServer()
			defer server.Close()
			dir := writeTestFiles(t)
			env := clientEnv(server, dir, c.token)
			if c.token == "" {
				env = nil
			}
			r := run(dir, env, c.line...)
			g.Expect(r.code).To(Equal(c.code), r.stdout+r.stderr)
			g.Expect(r.stdout + r.stderr).To(ContainSubstring(c.want))
			g.Expect(r.stdout + r.stderr).NotTo(Or(ContainSubstring("-secret"), ContainSubstring("\x1b")))
			if c.code == 0 {
				g.Expect(r.stderr).To(BeEmpty())
			}
			if strings.Contains(strings.Join(c.line, " "), "-json") {
				g.Expect(json.Valid([]byte(r.stdout))).To(BeTrue(), r.stdout)
			}
		})
	}
}

// TestSubmitConflictAndRepeat guards against a submission that overwrites a change
// made after its base, and against a repeat that conflicts with its own first
// attempt.
func TestSubmitConflictAndRepeat(t *testing.T) {
	g := NewWithT(t)
	server, deployment := newServer()
	defer server.Close()
	dir := writeTestFiles(t)
	env := clientEnv(server, dir, "root")
	submit := func(line ...string) result {
		return run(dir, env, append([]string{"submit", "-insecure-loopback"}, line...)...)
	}
	g.Expect(submit("-operation", "first", "@old.ini").code).To(Equal(ctl.ExitOK))
	g.Expect(submit("@third.ini").stdout).To(Equal("revision 3\n"))
	conflict := submit("@old.ini")
	g.Expect(conflict.code).To(Equal(ctl.ExitConflict))
	g.Expect(conflict.stderr).To(ContainSubstring("revision 3 by root came first"))
	asJSON := submit("-json", "-base", "2", "@changed.ini")
	g.Expect(asJSON.code).To(Equal(ctl.ExitConflict))
	g.Expect(asJSON.stdout).To(And(ContainSubstring(`"revision": 3`), ContainSubstring(`"exit_code": 3`)))
	repeat := submit("-operation", "first", "@old.ini")
	g.Expect(repeat).To(Equal(result{stdout: "revision 2\n"}))
	g.Expect(submit("-operation", "first", "@third.ini").stderr).To(ContainSubstring("operation-reused"))
	deployment.submitErr = admin.ErrUncertain
	g.Expect(submit("-operation", "op-7", "@changed.ini").stderr).To(ContainSubstring("repeat with -operation op-7"))
	g.Expect(deployment.revisions).To(HaveLen(3))
}

// TestDrainWait guards against a wait that ends early (the drain is not listed yet
// or its progress cannot be read) or reports an aborted drain as done, and against
// a repeated start that makes another revision, or succeeds with another reason.
func TestDrainWait(t *testing.T) {
	progress := func(left int) []admin.DrainProgress {
		return []admin.DrainProgress{{Kind: "region", Target: "nordur", Done: true},
			{Kind: "region", Target: "austur", InFlight: left, Done: left == 0, EstimatedMillis: int64(left) * 100}}
	}
	for _, c := range []struct {
		desc         string
		progress     [][]admin.DrainProgress
		readFailures int
		flags        []string
		code         int
		want         string
	}{
		{"drain that is listed late, then done", [][]admin.DrainProgress{nil, nil, progress(5), progress(5), progress(0)}, 0, nil, 0, "region austur: 5 requests left, end in 500ms\nregion austur: 0 requests left, end done\n"},
		{"aborted", [][]admin.DrainProgress{progress(5), nil}, 0, nil, 1, "the drain was aborted"},
		{"timeout", [][]admin.DrainProgress{progress(5)}, 0, []string{"-timeout", "50ms"}, 1, "the drain goes on"},
		{"result as JSON", [][]admin.DrainProgress{progress(0)}, 0, []string{"-json"}, 0, `"done": true`},
		{"progress temporarily unreadable", [][]admin.DrainProgress{progress(0)}, 4, nil, 0, "store-unavailable"},
		{"progress unreadable", [][]admin.DrainProgress{progress(0)}, 5, nil, 1, "its progress cannot be read"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			server, deployment := newServer()
			defer server.Close()
			deployment.progress, deployment.readFailures = c.progress, c.readFailures
			dir := writeTestFiles(t)
			line := append([]string{"drain", "start", "-insecure-loopback", "-wait", "-interval", "2ms", "region", "austur"}, c.flags...)
			r := run(dir, clientEnv(server, dir, "operator"), line...)
			g.Expect(r.code).To(Equal(c.code), r.stderr)
			g.Expect(r.stdout + r.stderr).To(ContainSubstring(c.want))
			again := run(dir, clientEnv(server, dir, "operator"), "drain", "start", "-insecure-loopback", "region", "austur")
			g.Expect(again).To(Equal(result{stdout: "revision 2: drain of region austur\n"}))
			other := run(dir, clientEnv(server, dir, "operator"), "drain", "start", "-insecure-loopback", "-reason", "x", "region", "austur")
			g.Expect(other.code).To(Equal(ctl.ExitConflict))
		})
	}
}

// TestTLSAndRedirect guards against a token sent to the target of a redirect, trust
// in a server whose certificate does not chain to the CA, and a change whose result
// is reported as unknown although the TLS handshake failed.
func TestTLSAndRedirect(t *testing.T) {
	g := NewWithT(t)
	redirectTarget := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("followed a redirect") }))
	defer redirectTarget.Close()
	server := httptest.NewTLSServer(http.RedirectHandler(redirectTarget.URL, http.StatusFound))
	defer server.Close()
	dir := writeTestFiles(t)
	env := clientEnv(server, dir, "reader")
	g.Expect(run(dir, env, "dump").stderr).To(ContainSubstring("certificate"))
	g.Expect(run(dir, env, "submit", "@same.ini").stderr).NotTo(ContainSubstring("the result is not known"))
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	writeFile(g, dir, "ca", string(block))
	r := run(dir, env, "dump", "-ca", "@ca")
	g.Expect(r.code).To(Equal(ctl.ExitFailed))
	g.Expect(r.stderr).To(ContainSubstring("status 302"))
}

// TestClientCertificate guards against a configured client certificate that is not
// presented to a server that requires one.
func TestClientCertificate(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	server.TLS = &tls.Config{ClientAuth: tls.RequireAnyClientCert}
	server.StartTLS()
	defer server.Close()
	dir := writeTestFiles(t)
	pair := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	g.Expect(err).NotTo(HaveOccurred())
	writeFile(g, dir, "cert", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]})))
	writeFile(g, dir, "key", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})))
	env := clientEnv(server, dir, "reader")
	g.Expect(run(dir, env, "dump", "-ca", "@cert").stderr).To(ContainSubstring("certificate required"))
	g.Expect(run(dir, env, "dump", "-ca", "@cert", "-cert", "@cert", "-key", "@key")).To(Equal(result{stdout: "{}"}))
}

// TestLostAnswer guards against reporting a change as failed when only its answer
// was lost: the connection breaks after the request was sent.
func TestLostAnswer(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	dir := writeTestFiles(t)
	r := run(dir, clientEnv(server, dir, "root"), "submit", "-insecure-loopback", "-operation", "op-8", "@same.ini")
	g.Expect(r.code).To(Equal(ctl.ExitFailed))
	g.Expect(r.stderr).To(ContainSubstring("repeat with -operation op-8"))
}
