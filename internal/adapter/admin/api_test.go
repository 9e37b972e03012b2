package admin_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/examples/deployments"
	"github.com/galenabeam/galenabeam/internal/adapter/admin"
	"github.com/galenabeam/galenabeam/internal/settings"
)

// Guards against connections and goroutines that outlive their request. The
// goroutine of go-metrics for meters and timers is ignored: it never ends.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

func newToken(name string, role settings.Role, teams ...string) settings.Token {
	return settings.Token{Name: name, Hash: sha256.Sum256([]byte(name + "-secret")), Role: role, Teams: teams}
}

var tokens = []settings.Token{
	newToken("reader", settings.RoleRead),
	newToken("operator", settings.RoleOperate, settings.AllTeams),
	newToken("root", settings.RoleConfigure, settings.AllTeams),
	newToken("tolur", settings.RoleConfigure, "tolur"),
}

func newAPI(options admin.Options) (*admin.API, *fakeDeployment) {
	deployment := &fakeDeployment{operations: map[string]int{}}
	deployment.revisions = []admin.Revision{{Number: 1, Who: "root", Config: config.Normalize(deployments.Hagtal())}}
	return admin.New(deployment, deployment, metrics.NewRegistry(), tokens, options), deployment
}

// call describes one request. An operation of "-" sends no operation header, any
// other sends itself followed by "op".
type call struct {
	method, path, token, operation, body string
}

func (c call) do(api *admin.API) *httptest.ResponseRecorder {
	r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token+"-secret")
	}
	if c.operation != "-" {
		r.Header.Set(admin.HeaderOperation, c.operation+"op")
	}
	w := httptest.NewRecorder()
	api.ServeHTTP(w, r)
	return w
}

// editedText returns the text of the example configuration with a change.
func editedText(change func(*config.Config)) string {
	c := deployments.Hagtal()
	change(c)
	var b bytes.Buffer
	if err := config.Print(&b, c); err != nil {
		panic(err)
	}
	return b.String()
}

func changeOwnService(c *config.Config) { c.Services[0].RetryShare = 0.2 }

const ownDrain = `{"kind":"backend-server","target":"talnabrunnur-1","reason":"disk"}`

// Guards against wrong answers to calls that a token does not allow, to malformed
// input and during failures of the store, and against refused calls that submit.
func TestRefusedCalls(t *testing.T) {
	foreignServer := func(c *config.Config) {
		c.BackendServers[slices.IndexFunc(c.BackendServers, func(b config.BackendServer) bool { return b.Service == "mottaka" })].Slots++
	}
	takeService := func(c *config.Config) { c.Services[1].Team = "tolur" }
	giveService := func(c *config.Config) { c.Services[0].Team = "tollur" }
	for _, c := range []struct {
		desc   string
		call   call
		err    error
		status int
		code   admin.Code
		detail string
	}{
		{"no token", call{"GET", "/v1/fleet", "", "", ""}, nil, 401, admin.CodeUnauthorized, "Bearer"},
		{"wrong token", call{"GET", "/v1/fleet", "nobody", "", ""}, nil, 401, admin.CodeUnauthorized, ""},
		{"no token on an unknown path", call{"GET", "/v1/nope", "", "", ""}, nil, 401, admin.CodeUnauthorized, ""},
		{"unknown path", call{"GET", "/v1/nope", "reader", "", ""}, nil, 404, admin.CodeNotFound, ""},
		{"unknown method", call{"PUT", "/v1/config", "root", "", ""}, nil, 404, admin.CodeNotFound, ""},
		{"reader submits", call{"POST", "/v1/config", "reader", "", editedText(changeOwnService)}, nil, 403, admin.CodeForbidden, "want configure"},
		{"operator submits", call{"POST", "/v1/config", "operator", "", editedText(changeOwnService)}, nil, 403, admin.CodeForbidden, "role operate"},
		{"reader drains", call{"POST", "/v1/drains", "reader", "", ownDrain}, nil, 403, admin.CodeForbidden, "want operate"},
		{"foreign service", call{"POST", "/v1/config", "tolur", "", editedText(func(c *config.Config) { c.Services[1].RetryShare = 0.2 })}, nil, 403, admin.CodeForeignTeam, "[service yfirlysingar] retry-share: 0.1 -> 0.2"},
		{"foreign backend server", call{"POST", "/v1/config", "tolur", "", editedText(foreignServer)}, nil, 403, admin.CodeForeignTeam, "[backend-server mottaka-1] slots"},
		{"service taken from another team", call{"POST", "/v1/config", "tolur", "", editedText(takeService)}, nil, 403, admin.CodeForeignTeam, "team: tollur -> tolur"},
		{"service given to another team", call{"POST", "/v1/config", "tolur", "", editedText(giveService)}, nil, 403, admin.CodeForeignTeam, "team: tolur -> tollur"},
		{"own server moved to a foreign service", call{"POST", "/v1/config", "tolur", "", editedText(func(c *config.Config) { c.BackendServers[0].Service = "mottaka" })}, nil, 403, admin.CodeForeignTeam, "service: talnabrunnur -> mottaka"},
		{"item that no team owns", call{"POST", "/v1/config", "tolur", "", editedText(func(c *config.Config) { c.Customers[0].Weight = 9 })}, nil, 403, admin.CodeForeignTeam, "[customer skipafelag] weight"},
		{"foreign drain", call{"POST", "/v1/drains", "tolur", "", `{"kind":"backend-server","target":"mottaka-1"}`}, nil, 403, admin.CodeForeignTeam, "drain backend-server mottaka-1"},
		{"drain of a region by a team", call{"POST", "/v1/drains", "tolur", "", `{"kind":"region","target":"austur"}`}, nil, 403, admin.CodeForeignTeam, "drain region austur"},
		{"oversized configuration", call{"POST", "/v1/config", "root", "", strings.Repeat("#", 1<<20+1)}, nil, 413, admin.CodeTooLarge, ""},
		{"oversized drain", call{"POST", "/v1/drains", "root", "", strings.Repeat(" ", 1<<17)}, nil, 413, admin.CodeTooLarge, ""},
		{"no operation", call{"POST", "/v1/config", "root", "-", editedText(changeOwnService)}, nil, 400, admin.CodeBadRequest, admin.HeaderOperation},
		{"malformed operation", call{"POST", "/v1/drains", "root", "a/b", ownDrain}, nil, 400, admin.CodeBadRequest, admin.HeaderOperation},
		{"long reason", call{"POST", "/v1/config?why=" + strings.Repeat("x", 501), "root", "", editedText(changeOwnService)}, nil, 400, admin.CodeBadRequest, "why"},
		{"unparsable configuration", call{"POST", "/v1/config", "root", "", "[service x]\nteem = y\n"}, nil, 422, admin.CodeInvalidConfig, "line 2: [service x] teem = y: unknown key"},
		{"configuration that contradicts itself", call{"POST", "/v1/config/validate", "reader", "", "[deployment]\nname = x\n"}, nil, 422, admin.CodeInvalidConfig, "want at least one section [region NAME]"},
		{"drain of an unknown backend server", call{"POST", "/v1/drains", "root", "", `{"kind":"backend-server","target":"nope"}`}, nil, 422, admin.CodeInvalidConfig, "unknown backend server"},
		{"drain with an unknown key", call{"POST", "/v1/drains", "root", "", `{"kind":"region","target":"austur","x":1}`}, nil, 400, admin.CodeBadRequest, `unknown field`},
		{"two drains in one body", call{"POST", "/v1/drains", "root", "", ownDrain + ownDrain}, nil, 400, admin.CodeBadRequest, "nothing after it"},
		{"abort of an absent drain", call{"DELETE", "/v1/drains/region/austur", "root", "", ""}, nil, 404, admin.CodeNotFound, ""},
		{"unknown base", call{"POST", "/v1/config?base=9", "root", "", editedText(changeOwnService)}, nil, 404, admin.CodeNotFound, ""},
		{"malformed revision", call{"GET", "/v1/config?revision=-1", "reader", "", ""}, nil, 400, admin.CodeBadRequest, "revision"},
		{"unknown revision", call{"GET", "/v1/config?revision=7", "reader", "", ""}, nil, 404, admin.CodeNotFound, ""},
		{"malformed region", call{"GET", "/v1/queues?region=A%0A", "reader", "", ""}, nil, 400, admin.CodeBadRequest, "region"},
		{"store down", call{"POST", "/v1/config", "root", "", editedText(changeOwnService)}, admin.ErrUnavailable, 503, admin.CodeUnavailable, ""},
		{"lost answer of the store", call{"POST", "/v1/config", "root", "", editedText(changeOwnService)}, admin.ErrUncertain, 504, admin.CodeUncertain, "repeat the request"},
		{"no configuration yet", call{"GET", "/v1/config", "reader", "", ""}, admin.ErrNoConfig, 503, admin.CodeNoConfig, ""},
		{"unexpected error", call{"GET", "/v1/fleet", "reader", "", ""}, errors.New("internal detail"), 500, admin.CodeInternal, ""},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			var internal []error
			api, deployment := newAPI(admin.Options{MaxConfigBytes: 1 << 20, InternalError: func(_ string, err error) { internal = append(internal, err) }})
			deployment.err = c.err
			w := c.call.do(api)
			var p admin.Problem
			g.Expect(json.Unmarshal(w.Body.Bytes(), &p)).To(Succeed(), w.Body.String())
			g.Expect(w.Header().Get("Content-Type")).To(Equal("application/problem+json"))
			g.Expect([]any{w.Code, p.Status, p.Type}).To(Equal([]any{c.status, c.status, "urn:galenabeam:problem:" + string(c.code)}), w.Body.String())
			g.Expect(p.Detail + strings.Join(p.Problems, "\n")).To(ContainSubstring(c.detail))
			g.Expect(w.Body.String()).NotTo(Or(ContainSubstring("internal detail"), ContainSubstring("-secret")))
			g.Expect(deployment.submitted).To(BeEmpty())
			g.Expect(internal).To(HaveLen(map[bool]int{true: 1}[c.status == 500]))
		})
	}
}

// Guards against the refusal of calls that the token allows.
func TestAllowedCalls(t *testing.T) {
	for _, c := range []struct {
		desc   string
		call   call
		status int
		want   string
	}{
		{"read", call{"GET", "/v1/config?revision=1", "reader", "-", ""}, 200, `"revision": 1`},
		{"text", call{"GET", "/v1/config/text", "reader", "-", ""}, 200, "[deployment]\nname = hagtal\n"},
		{"validate", call{"POST", "/v1/config/validate", "reader", "-", editedText(changeOwnService)}, 200, `"valid": true`},
		{"diff", call{"POST", "/v1/config/diff", "reader", "-", editedText(changeOwnService)}, 200, `"new": "0.2"`},
		{"team submits its own change", call{"POST", "/v1/config?why=load", "tolur", "", editedText(changeOwnService)}, 201, `"who": "tolur"`},
		{"team drains its own server", call{"POST", "/v1/drains", "tolur", "", ownDrain}, 201, `"revision": 2`},
		{"operator drains a domain", call{"POST", "/v1/drains", "operator", "", `{"kind":"failure-domain","target":"austur/a"}`}, 201, `"revision": 2`},
		{"drains", call{"GET", "/v1/drains", "reader", "-", ""}, 200, `"drains": []`},
		{"fleet", call{"GET", "/v1/fleet", "reader", "-", ""}, 200, `"svc/east"`},
		{"caps", call{"GET", "/v1/caps", "reader", "-", ""}, 200, `"host": "h1"`},
		{"queues", call{"GET", "/v1/queues?region=austur", "reader", "-", ""}, 200, `"region": "austur"`},
		{"state", call{"GET", "/v1/state", "reader", "-", ""}, 200, `"epoch": 4`},
		{"metrics", call{"GET", "/v1/metrics", "reader", "-", ""}, 200, "galenabeam_admin_requests_total 1\n"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			api, _ := newAPI(admin.Options{})
			w := c.call.do(api)
			g.Expect(w.Code).To(Equal(c.status), w.Body.String())
			g.Expect(w.Body.String()).To(ContainSubstring(c.want))
		})
	}
}

// Guards against repeated operations that take effect twice, and against one
// identity that stands for different changes or for changes of different tokens.
func TestReplayedOperations(t *testing.T) {
	g := NewWithT(t)
	api, deployment := newAPI(admin.Options{})
	submit := call{"POST", "/v1/config", "root", "a", editedText(changeOwnService)}
	g.Expect(submit.do(api).Code).To(Equal(201))
	drain := call{"POST", "/v1/drains", "root", "b", ownDrain}
	g.Expect(drain.do(api).Code).To(Equal(201))
	abort := call{"DELETE", "/v1/drains/backend-server/talnabrunnur-1", "root", "c", ""}
	g.Expect(abort.do(api).Code).To(Equal(201))
	g.Expect(deployment.revisions).To(HaveLen(4))
	for _, replay := range []call{submit, drain, abort} {
		g.Expect(replay.do(api).Code).To(Equal(200))
	}
	other := submit
	other.body = editedText(func(c *config.Config) { c.Services[0].RetryShare = 0.3 })
	g.Expect(other.do(api).Code).To(Equal(409))
	drain.body = strings.Replace(ownDrain, "-1", "-2", 1)
	g.Expect(drain.do(api).Body.String()).To(ContainSubstring(string(admin.CodeOperationReused)))
	g.Expect(deployment.revisions).To(HaveLen(4))
	other.token = "tolur"
	g.Expect(other.do(api).Code).To(Equal(201))
	g.Expect(deployment.submitted[3].Operation).To(Equal("tolur.aop"))
}

// Guards against submissions that overwrite another one, or that bypass the check
// of ownership because the base changed after it.
func TestRacingSubmissions(t *testing.T) {
	g := NewWithT(t)
	api, deployment := newAPI(admin.Options{})
	interfere := func() { call{"POST", "/v1/config", "root", "x", editedText(changeOwnService)}.do(api) }
	deployment.race = interfere
	w := call{"POST", "/v1/config", "tolur", "y", editedText(func(c *config.Config) { c.Services[0].RetryShare = 0.3 })}.do(api)
	g.Expect(w.Code).To(Equal(409))
	g.Expect(w.Body.String()).To(And(ContainSubstring(`"revision": 2`), ContainSubstring("revision 2 by root came first")))

	deployment.race = func() {
		call{"POST", "/v1/config", "root", "z", editedText(func(c *config.Config) { c.Services[0].RetryShare = 0.4 })}.do(api)
	}
	g.Expect(call{"POST", "/v1/drains", "operator", "d", ownDrain}.do(api).Code).To(Equal(201))
	g.Expect(deployment.revisions).To(HaveLen(4))
	g.Expect(deployment.revisions[3].Config.Services).To(ContainElement(HaveField("RetryShare", 0.4)))
	g.Expect(deployment.revisions[3].Config.Drains).To(HaveLen(1))
}

// Guards against audit records without the certificate that was presented.
func TestAuditIdentityNamesTheCertificate(t *testing.T) {
	g := NewWithT(t)
	api, deployment := newAPI(admin.Options{})
	r := httptest.NewRequest("POST", "/v1/drains", strings.NewReader(ownDrain))
	r.Header.Set("Authorization", "bearer root-secret")
	r.Header.Set(admin.HeaderOperation, "a")
	r.TLS = &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{{Subject: pkix.Name{CommonName: "laptop-7"}}}}}
	w := httptest.NewRecorder()
	api.ServeHTTP(w, r)
	g.Expect(w.Code).To(Equal(201))
	g.Expect(deployment.submitted[0].Who).To(Equal("root (laptop-7)"))
}

// Guards against unlimited requests, with and without a valid token, and against
// tokens that stay valid after their removal.
func TestRateLimits(t *testing.T) {
	g := NewWithT(t)
	api, _ := newAPI(admin.Options{RequestsPerSecond: 0.001, Burst: 3})
	codes := map[int]int{}
	for range 10 {
		codes[call{"GET", "/v1/fleet", "reader", "-", ""}.do(api).Code]++
	}
	g.Expect(codes).To(Equal(map[int]int{200: 3, 429: 7}))
	g.Expect(call{"GET", "/v1/fleet", "root", "-", ""}.do(api).Code).To(Equal(200))
	api.SetTokens(tokens[1:])
	g.Expect(call{"GET", "/v1/fleet", "reader", "-", ""}.do(api).Code).To(Equal(401))
	limited := 0
	for range 2000 {
		if (call{"GET", "/v1/fleet", "nobody", "-", ""}).do(api).Code == 429 {
			limited++
		}
	}
	g.Expect(limited).To(BeNumerically(">", 0))
}

// Guards against connections that a client keeps open by sending its header
// slowly, and against headers of unlimited size.
func TestSlowAndLargeHeaders(t *testing.T) {
	g := NewWithT(t)
	api, _ := newAPI(admin.Options{HeaderTimeout: 50 * time.Millisecond, MaxHeaderBytes: 4096})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := api.Server()
	go func() { _ = server.Serve(listener) }()
	// Shutdown waits for the connections, Close does not.
	defer func() { g.Expect(server.Shutdown(context.Background())).To(Succeed()) }()
	exchange := func(header string) string {
		conn, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "GET /v1/fleet HTTP/1.1\r\nHost: x\r\n%s", header)
		g.Expect(err).NotTo(HaveOccurred())
		answer, _ := io.ReadAll(bufio.NewReader(conn))
		return string(answer)
	}
	g.Expect(exchange("X: y")).NotTo(ContainSubstring("HTTP/1.1 200"))
	g.Expect(exchange("X: " + strings.Repeat("y", 16<<10) + "\r\n\r\n")).To(ContainSubstring(fmt.Sprint(http.StatusRequestHeaderFieldsTooLarge)))
}

// Guards against an exposition that scrapers cannot parse or misread: series of a
// family that are not adjacent, labels without escapes, timers not in seconds.
func TestExposition(t *testing.T) {
	g := NewWithT(t)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("pool.grants;rank=lookup;region=a\"b", r).Inc(3)
	metrics.GetOrRegisterCounter("pool.grants_x", r).Inc(1)
	metrics.GetOrRegisterCounter("pool.grants", r).Inc(2)
	metrics.GetOrRegisterGauge("queue-length", r).Update(7)
	metrics.GetOrRegisterTimer("rpc.time", r).Update(2 * time.Second)
	metrics.GetOrRegisterGaugeFloat64("rpc.time;x=y", r).Update(0.5)
	g.Expect(string(admin.Exposition(r))).To(Equal(`# TYPE galenabeam_pool_grants_total counter
galenabeam_pool_grants_total 2
galenabeam_pool_grants_total{rank="lookup",region="a\"b"} 3
# TYPE galenabeam_pool_grants_x_total counter
galenabeam_pool_grants_x_total 1
# TYPE galenabeam_queue_length gauge
galenabeam_queue_length 7
# TYPE galenabeam_rpc_time gauge
galenabeam_rpc_time{x="y"} 0.5
# TYPE galenabeam_rpc_time_seconds summary
galenabeam_rpc_time_seconds{quantile="0.5"} 2
galenabeam_rpc_time_seconds{quantile="0.9"} 2
galenabeam_rpc_time_seconds{quantile="0.99"} 2
galenabeam_rpc_time_seconds{quantile="0.999"} 2
galenabeam_rpc_time_seconds_sum 2
galenabeam_rpc_time_seconds_count 1
`))
}
