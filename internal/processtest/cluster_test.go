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

	// The test runs galenabeamd, galenabeamctl and galenabeam-standin as processes. With the
	// imports, a change of what they consist of invalidates cached results of the test.
	_ "github.com/galenabeam/galenabeam/internal/ctl"
	_ "github.com/galenabeam/galenabeam/internal/daemon"
	_ "github.com/galenabeam/galenabeam/internal/fake/backend"
	_ "github.com/galenabeam/galenabeam/internal/fake/hostlist"
	_ "github.com/galenabeam/galenabeam/internal/fake/store"
	_ "github.com/galenabeam/galenabeam/internal/logsink"
	_ "github.com/galenabeam/galenabeam/platform"
)

// Bounds of waits, so that a run without progress ends.
const (
	buildLimit = 3 * time.Minute
	readyLimit = 60 * time.Second
	exitLimit  = 20 * time.Second
)

// adminToken is the token for submissions to the administration API.
const adminToken = "trial-secret"

var regionNames = []string{"north", "east", "south"}

// process is a started program. Its output goes to two files.
type process struct {
	name       string
	cmd        *exec.Cmd
	stdoutPath string
	stderrPath string
	ended      chan struct{}
	err        error // of the exit, valid once ended is closed
}

// entryHost is an entry host with its latest process.
type entryHost struct {
	*process
	id, region, settingsPath, httpAddress, adminAddress string
	// client sends from an address that belongs to the region's client block.
	client *http.Client
}

// cluster holds two entry hosts in each region, the stand-ins and the configuration.
type cluster struct {
	t              *testing.T
	dir            string
	standinAddress string // of the stand-ins' fault and state API
	hosts          []*entryHost
	config         *config.Config
}

// newCluster builds and starts the programs, submits a configuration and waits until
// all entry hosts serve requests.
func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, dir: t.TempDir()}
	c.build()
	storeAddress, hostListAddress := c.freeAddress("127.20.0.1"), c.freeAddress("127.20.0.1")
	c.standinAddress = c.freeAddress("127.20.0.1")
	c.makeConfig()
	args := []string{"-store", storeAddress, "-host-list", hostListAddress, "-faults", c.standinAddress, "-config", c.path("config.ini"), "-service-time", "10ms"}
	tokens := fmt.Sprintf("[token test]\nsha256 = %x\nrole = configure\nteams = *\n", sha256.Sum256([]byte(adminToken)))
	c.write("tokens.ini", tokens)
	for r, region := range regionNames {
		for h, domain := range []string{"a", "b"} {
			ip := fmt.Sprintf("127.2%d.0.%d", r, 11+h)
			e := &entryHost{id: region + "-" + domain, region: region, httpAddress: c.freeAddress(ip), adminAddress: c.freeAddress(ip), client: c.clientFrom(fmt.Sprintf("127.2%d.0.99", r))}
			rpc := c.freeAddress(ip)
			e.settingsPath = c.write(e.id+".ini", fmt.Sprintf("[host]\nid = %s\nregion = %s\nfailure-domain = %s\n[http]\nlisten = %s\n[rpc]\nlisten = %s\n"+
				"[admin]\nlisten = %s\ntokens-file = %s\n[platform]\nstore-url = http://%s\nhost-list-url = http://%s\n[limits]\nshutdown-limit = 15s\n"+
				"[security]\nplain-text-on-loopback = true\n", e.id, region, domain, e.httpAddress, rpc, e.adminAddress, c.path("tokens.ini"), storeAddress, hostListAddress))
			args = append(args, "-host", strings.Join([]string{e.id, region, domain, rpc, e.httpAddress}, ","))
			c.hosts = append(c.hosts, e)
		}
	}
	c.start("standin", "galenabeam-standin", args...)
	c.waitFor("the stand-ins answer", func() bool { return c.callStandin(http.MethodGet, "/v1/state", "", nil) == nil })
	for _, e := range c.hosts {
		c.startEntry(e)
	}
	c.waitFor("a submission is accepted", func() bool { return c.submit(c.hosts[0], "first") == http.StatusCreated })
	c.waitServing()
	return c
}

// makeConfig writes a configuration with two backend servers in each region.
func (c *cluster) makeConfig() {
	regions := config.Regions([]string{"a", "b"}, time.Millisecond, time.Millisecond, regionNames...)
	var servers []config.BackendServer
	var blocks []config.ClientBlock
	for r, region := range regionNames {
		ip := fmt.Sprintf("127.2%d.0.21", r)
		for s, domain := range []string{"a", "b"} {
			servers = append(servers, config.BackendServer{Name: fmt.Sprintf("tables-%s-%d", region, s+1), Service: "tables", Region: region,
				FailureDomain: domain, Address: c.freeAddress(ip), Slots: 4, Connections: 100})
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
		// A read of its directory invalidates cached results when the command itself changes.
		if _, err := os.ReadDir("../../cmd/" + name); err != nil {
			c.t.Fatal(err)
		}
		out, err := exec.CommandContext(ctx, "go", "build", "-o", c.path(name), "../../cmd/"+name).CombinedOutput()
		if err != nil {
			c.t.Fatalf("building %s: %v\n%s", name, err, out)
		}
	}
}

func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }

// write writes a file below the test's directory and returns its path.
func (c *cluster) write(name, text string) string {
	if err := os.WriteFile(c.path(name), []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return c.path(name)
}

// freeAddress returns an address with a port that is free for now.
func (c *cluster) freeAddress(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		c.t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start starts a program, which is killed at the end of the test. A failed test logs
// the end of its standard error.
func (c *cluster) start(name, program string, args ...string) *process {
	p := &process{name: name, stdoutPath: c.path(name + ".out"), stderrPath: c.path(name + ".log"), ended: make(chan struct{})}
	open := func(path string) *os.File {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			c.t.Fatal(err)
		}
		return f
	}
	out, log := open(p.stdoutPath), open(p.stderrPath)
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
			text, _ := os.ReadFile(p.stderrPath)
			c.t.Logf("log of %s:\n%s", p.name, text[max(0, len(text)-4000):])
		}
	})
	return p
}

func (c *cluster) startEntry(e *entryHost) {
	e.process = c.start(e.id, "galenabeamd", "-config", e.settingsPath)
}

// signal sends a signal and, if exit is set, waits until the process has ended.
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

// waitFor waits up to readyLimit until met returns true.
func (c *cluster) waitFor(condition string, met func() bool) {
	c.t.Helper()
	for end := time.Now().Add(readyLimit); !met(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("condition not met within %s: %s", readyLimit, condition)
		}
	}
}

// waitServing waits until each entry host completes requests in its own region.
func (c *cluster) waitServing() {
	c.t.Helper()
	for _, e := range c.hosts {
		c.waitFor(e.id+" serves its region", func() bool {
			a := c.send(e, "lookup", "")
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

// operatorClient calls the administration API and the stand-ins.
var operatorClient = &http.Client{Timeout: 20 * time.Second}

// clientFrom returns a client that connects from the given address.
func (c *cluster) clientFrom(ip string) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8}}
	c.t.Cleanup(client.CloseIdleConnections)
	return client
}

// callStandin calls the API of the stand-ins. A status other than 2xx is an error.
func (c *cluster) callStandin(method, path, body string, out any) error {
	status, _, err := c.call(operatorClient, method, "http://"+c.standinAddress+path, body, nil, out)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("%s %s: status %d", method, path, status)
	}
	return err
}

// submit submits the configuration and returns the status, 0 if there is no answer.
func (c *cluster) submit(e *entryHost, operation string) int {
	text, err := os.ReadFile(c.path("config.ini"))
	if err != nil {
		c.t.Fatal(err)
	}
	status, _, _ := c.call(operatorClient, http.MethodPost, "http://"+e.adminAddress+"/v1/config?why=test", string(text),
		map[string]string{"Authorization": "Bearer " + adminToken, "Galenabeam-Operation": operation}, nil)
	return status
}

// result is what a caller observed of one request.
type result struct {
	workID, outcome, reason, region string
	host                            *entryHost
	err                             error
}

// send sends one request from a client of the entry host's region.
func (c *cluster) send(e *entryHost, rank, query string) result {
	_, h, err := c.call(e.client, http.MethodPost, "http://"+e.httpAddress+httpapi.PathRun+"tables/x?"+query, "x", map[string]string{httpapi.HeaderRank: rank}, nil)
	if err != nil {
		return result{host: e, err: err}
	}
	return result{host: e, outcome: h.Get(httpapi.HeaderOutcome), reason: h.Get(httpapi.HeaderReason), region: h.Get(httpapi.HeaderRegion)}
}
