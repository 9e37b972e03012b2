//go:build processes

package processtest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/httpapi"
)

// Bounds of waits. They end a run that makes no progress.
const (
	buildLimit = 3 * time.Minute
	readyLimit = 60 * time.Second
	exitLimit  = 20 * time.Second
)

const secret = "trial-secret"

var regionNames = []string{"north", "east", "south"}

// process is a started program.
type process struct {
	name   string
	cmd    *exec.Cmd
	stdout string
	stderr string
	ended  chan struct{}
	err    error
}

// entry is an entry host, which may be started more than once.
type entry struct {
	*process
	id, region, settings, http, admin string
	// client sends from an address of the region's callers.
	client *http.Client
}

type cluster struct {
	t      *testing.T
	dir    string
	faults string
	hosts  []*entry
	config *config.Config
}

// newCluster builds the programs, starts them and puts a configuration in force.
func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, dir: t.TempDir()}
	c.build()
	store, list := c.free("127.20.0.1"), c.free("127.20.0.1")
	c.faults = c.free("127.20.0.1")
	c.makeConfig()
	args := []string{"-store", store, "-host-list", list, "-faults", c.faults, "-config", c.path("config.ini"), "-service-time", "10ms"}
	tokens := fmt.Sprintf("[token test]\nsha256 = %x\nrole = configure\nteams = *\n", sha256.Sum256([]byte(secret)))
	c.write("tokens.ini", tokens)
	for r, region := range regionNames {
		for h, domain := range []string{"a", "b"} {
			ip := fmt.Sprintf("127.2%d.0.%d", r, 11+h)
			e := &entry{id: region + "-" + domain, region: region, http: c.free(ip), admin: c.free(ip), client: c.caller(fmt.Sprintf("127.2%d.0.99", r))}
			rpc := c.free(ip)
			e.settings = c.write(e.id+".ini", fmt.Sprintf("[host]\nid = %s\nregion = %s\nfailure-domain = %s\n[http]\nlisten = %s\n[rpc]\nlisten = %s\n"+
				"[admin]\nlisten = %s\ntokens-file = %s\n[platform]\nstore-url = http://%s\nhost-list-url = http://%s\n[limits]\nshutdown-limit = 15s\n"+
				"[security]\nplain-text-on-loopback = true\n", e.id, region, domain, e.http, rpc, e.admin, c.path("tokens.ini"), store, list))
			args = append(args, "-host", strings.Join([]string{e.id, region, domain, rpc, e.http}, ","))
			c.hosts = append(c.hosts, e)
		}
	}
	c.start("standin", "galenabeam-standin", args...)
	c.wait("the stand-ins answer", func() bool { return c.fault(http.MethodGet, "/v1/state", "", nil) == nil })
	for _, e := range c.hosts {
		c.startEntry(e)
	}
	c.wait("a submission is accepted", func() bool { return c.submit(c.hosts[0], "first") == http.StatusCreated })
	c.waitServing()
	return c
}

func (c *cluster) makeConfig() {
	regions := config.Regions([]string{"a", "b"}, time.Millisecond, time.Millisecond, regionNames...)
	var servers []config.BackendServer
	var blocks []config.ClientBlock
	for r, region := range regionNames {
		ip := fmt.Sprintf("127.2%d.0.21", r)
		for s, domain := range []string{"a", "b"} {
			servers = append(servers, config.BackendServer{Name: fmt.Sprintf("tables-%s-%d", region, s+1), Service: "tables", Region: region,
				FailureDomain: domain, Address: c.free(ip), Slots: 4, Connections: 100})
		}
		blocks = append(blocks, config.Blocks(region, fmt.Sprintf("127.2%d.0.0/16", r))...)
	}
	c.config = &config.Config{Deployment: "processes", Regions: regions, Links: config.Mesh(regions, time.Millisecond, 1_000_000_000),
		Ranks: []config.Rank{
			{Name: "lookup", Order: 1, Target: 250 * time.Millisecond, Deadline: 2 * time.Second, Worth: 10, Idempotent: true},
			{Name: "declaration", Order: 2, Target: time.Second, Deadline: 5 * time.Second, Worth: 3, Floor: 0.1}},
		Services: []config.Service{{Name: "tables", Team: "statistics", ServiceTime: 10 * time.Millisecond, MaxRequestBytes: 1 << 20,
			AnswerBytes: 1 << 10, RetryShare: 0.1, EjectShare: 0.5, Warmup: time.Second}},
		BackendServers: servers, Customers: []config.Customer{{Name: "hotels", Weight: 1}},
		ShiftCaps: config.UniformCaps(regions, 4, 10_000_000, 4), ClientBlocks: blocks}
	var text bytes.Buffer
	if err := config.Check(c.config); err != nil {
		c.t.Fatal(err)
	}
	if err := config.Print(&text, c.config); err != nil {
		c.t.Fatal(err)
	}
	c.write("config.ini", text.String())
}

func (c *cluster) build() {
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	for _, name := range []string{"galenabeamd", "galenabeamctl", "galenabeam-standin"} {
		out, err := exec.CommandContext(ctx, "go", "build", "-o", c.path(name), "../../cmd/"+name).CombinedOutput()
		if err != nil {
			c.t.Fatalf("building %s: %v\n%s", name, err, out)
		}
	}
}

func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }

func (c *cluster) write(name, text string) string {
	if err := os.WriteFile(c.path(name), []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return c.path(name)
}

// free returns an address with a port that is free now.
func (c *cluster) free(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		c.t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start runs a program until the end of the test at the latest.
func (c *cluster) start(name, program string, args ...string) *process {
	p := &process{name: name, stdout: c.path(name + ".out"), stderr: c.path(name + ".log"), ended: make(chan struct{})}
	open := func(path string) *os.File {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			c.t.Fatal(err)
		}
		return f
	}
	out, log := open(p.stdout), open(p.stderr)
	p.cmd = exec.Command(c.path(program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, log
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		_, _ = out.Close(), log.Close()
		close(p.ended)
	}()
	c.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if c.t.Failed() {
			text, _ := os.ReadFile(p.stderr)
			c.t.Logf("log of %s:\n%s", p.name, text[max(0, len(text)-4000):])
		}
	})
	return p
}

func (c *cluster) startEntry(e *entry) {
	e.process = c.start(e.id, "galenabeamd", "-config", e.settings)
}

// signal sends a signal and, if exit is set, waits for the end of the process.
func (c *cluster) signal(p *process, s syscall.Signal, exit bool) {
	c.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		c.t.Fatalf("%s: %v", p.name, err)
	}
	if !exit {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(exitLimit):
		c.t.Fatalf("%s did not end within %s of signal %s", p.name, exitLimit, s)
	}
}

func (c *cluster) wait(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(readyLimit); !ok(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("not within %s: %s", readyLimit, what)
		}
	}
}

// waitServing waits until each entry host gets work done in its own region.
func (c *cluster) waitServing() {
	c.t.Helper()
	for _, e := range c.hosts {
		c.wait(e.id+" serves its region", func() bool {
			a := c.run(e, "lookup", "")
			return a.outcome == "done" && a.region == e.region
		})
	}
}

// call sends a request and decodes a JSON answer into out unless it is nil.
func (c *cluster) call(client *http.Client, method, url, body string, header map[string]string, out any) (int, http.Header, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && out != nil {
		err = json.Unmarshal(text, out)
	}
	return resp.StatusCode, resp.Header, err
}

// operator is the client of the administration API and of the faults.
var operator = &http.Client{Timeout: 20 * time.Second}

// caller returns a client that sends from a source address.
func (c *cluster) caller(ip string) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8}}
	c.t.Cleanup(client.CloseIdleConnections)
	return client
}

// fault calls the stand-ins.
func (c *cluster) fault(method, path, body string, out any) error {
	status, _, err := c.call(operator, method, "http://"+c.faults+path, body, nil, out)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("%s %s: status %d", method, path, status)
	}
	return err
}

// submit submits the configuration and returns the status, or 0.
func (c *cluster) submit(e *entry, operation string) int {
	text, err := os.ReadFile(c.path("config.ini"))
	if err != nil {
		c.t.Fatal(err)
	}
	status, _, _ := c.call(operator, http.MethodPost, "http://"+e.admin+"/v1/config?why=test", string(text),
		map[string]string{"Authorization": "Bearer " + secret, "Galenabeam-Operation": operation}, nil)
	return status
}

// result is what a caller saw.
type result struct {
	work, outcome, reason, region string
	host                          *entry
	err                           error
}

// run sends one request as a caller of the entry host's region.
func (c *cluster) run(e *entry, rank, query string) result {
	_, h, err := c.call(e.client, http.MethodPost, "http://"+e.http+httpapi.PathRun+"tables/x?"+query, "x", map[string]string{httpapi.HeaderRank: rank}, nil)
	if err != nil {
		return result{host: e, err: err}
	}
	return result{host: e, outcome: h.Get(httpapi.HeaderOutcome), reason: h.Get(httpapi.HeaderReason), region: h.Get(httpapi.HeaderRegion)}
}
