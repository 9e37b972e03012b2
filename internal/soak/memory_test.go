package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// memoryCallers and memoryUploads are the callers that get a large answer, and those that
	// send a large body.
	memoryCallers, memoryUploads = 300, 200
	memoryBodyBytes              = 8 << 20
	// memoryServers is the number of backend servers, each with memorySlots slots.
	memoryServers, memorySlots = 8, 64
	// memoryHold is how long slow sides read next to nothing, well below the 10 s within which
	// an upload must be answered and a caller must read.
	memoryHold = 4 * time.Second
	// memoryLimitMB bounds the peak memory of a host of 136 MB.
	memoryLimitMB = 100
)

// memoryFill is sent in bodies.
var memoryFill = bytes.Repeat([]byte("m"), 64<<10)

// memorySite is one host with backend servers that answer with, or read, large bodies.
type memorySite struct {
	t      *testing.T
	host   *host
	slow   bool // callers do not read answers, and servers read bodies slowly
	resume chan struct{}

	requests, answersBegun, uploadsBegun, complete, refused, failed atomic.Int32
}

// TestHostMemory measures the peak memory of one host as a process with large bodies, with
// and without slow readers, and guards against one that does not fit a host of 136 MB. It
// runs only if SOAK_MEMORY is set, because it takes about a minute.
func TestHostMemory(t *testing.T) {
	if os.Getenv("SOAK_MEMORY") == "" {
		t.Skip("set SOAK_MEMORY to measure")
	}
	for _, c := range []struct {
		desc             string
		callers, uploads int
		slow             bool
	}{
		{"idle", 0, 0, false},
		{"answers", memoryCallers, 0, false},
		{"answers, slow callers", memoryCallers, 0, true},
		{"uploads", 0, memoryUploads, false},
		{"uploads, slow servers", 0, memoryUploads, true},
		{"both", memoryCallers, memoryUploads, false},
		{"both, slow", memoryCallers, memoryUploads, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := startMemorySite(t, c.slow)
			before := s.memory()
			s.run(c.callers, c.uploads)
			after := s.memory()
			t.Logf("VmHWM %d MB (idle %d MB), VmRSS at the end %d MB; complete %d, refused %d, failed %d; begun: %d answers, %d uploads",
				after["VmHWM"]>>10, before["VmHWM"]>>10, after["VmRSS"]>>10, s.complete.Load(), s.refused.Load(), s.failed.Load(), s.answersBegun.Load(), s.uploadsBegun.Load())
			NewWithT(t).Expect(after["VmHWM"] >> 10).To(BeNumerically("<", memoryLimitMB))
		})
	}
}

// startMemorySite starts a host of 136 MB, its store and its servers.
func startMemorySite(t *testing.T, slow bool) *memorySite {
	s := &memorySite{t: t, slow: slow, resume: make(chan struct{})}
	sr := &soakRun{network: reserveNetwork(t)}
	stored := newStore()
	storeServer := httptest.NewServer(stored)
	t.Cleanup(func() { storeServer.CloseClientConnections(); storeServer.Close() })
	for i := range memoryServers {
		id := fmt.Sprint("b", i)
		l, err := net.Listen("tcp", sr.ip(100)+":0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: s.handler(id), ConnState: limitBuffers}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		stored.put("servers/"+id, map[string]any{
			"address": l.Addr().String(), "born": 1,
			"info":   map[string]any{"service": "s", "version": "v1", "zone": "z0", "slots": memorySlots},
			"status": map[string]any{"state": "ready", "seq": 1, "cold_remaining": "0ms"},
		})
	}
	var rules []string
	for _, r := range [][2]string{{"get", "idempotent"}, {"upload", "upload"}} {
		rules = append(rules, fmt.Sprintf(`{"name":%q,"route_type":%q,"target_latency":"3s","match":{"prefix":"/%[1]s/"},"action":{"service":"s","timeout":"10s","max_attempts":1}}`, r[0], r[1]))
	}
	stored.put("op/config", rawJSON(fmt.Sprintf(`{"version":"r1","limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout":"3s","idle_timeout":"60s"},"listeners":[{"hostname":"x","rules":[%s]}],"clusters":[{"name":"s","cold_start":"1s","cold_per_s":5}]}`,
		memoryBodyBytes, strings.Join(rules, ","))))
	s.startHost(sr.ip(0), strings.TrimPrefix(storeServer.URL, "http://"))
	NewWithT(t).Eventually(func() int { return s.get("small") }, "10s", "100ms").Should(Equal(http.StatusOK))
	return s
}

func (s *memorySite) startHost(ip, storeAddress string) {
	g, dir := NewWithT(s.t), s.t.TempDir()
	link, err := newProxy(net.JoinHostPort(ip, "0"), storeAddress)
	g.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(link.close)
	format := strings.Replace(settingsFormat, "memory_mb = 200", "memory_mb = 136", 1)
	path := filepath.Join(dir, "h0.toml")
	g.Expect(os.WriteFile(path, fmt.Appendf(nil, format, "h0", ip, "z0", "r0", link.l.Addr(), ""), 0o600)).To(Succeed())
	logFile, err := os.Create(filepath.Join(dir, "h0.log"))
	g.Expect(err).NotTo(HaveOccurred())
	s.host = &host{name: "h0", ip: ip, settingsPath: path, daemonPath: daemonPath, logFile: logFile, link: link}
	g.Expect(s.host.start()).To(Succeed())
	s.t.Cleanup(func() {
		if s.t.Failed() {
			raw, _ := os.ReadFile(logFile.Name())
			s.t.Logf("log of the host:\n%s", raw[:min(len(raw), 4000)])
		}
		s.host.end()
	})
}

// limitBuffers bounds the socket buffers of a server, so that the kernel holds only a small
// part of a body that is not read.
func limitBuffers(c net.Conn, state http.ConnState) {
	if state == http.StateNew {
		_ = c.(*net.TCPConn).SetReadBuffer(socketBuffer)
		_ = c.(*net.TCPConn).SetWriteBuffer(socketBuffer)
	}
}

// handler answers as the backend server of an ID.
func (s *memorySite) handler(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Galenabeam-Request-Id", r.Header.Get("Galenabeam-Request-Id"))
		w.Header().Set("Galenabeam-Backend-Signature", id)
		w.Header().Set("Galenabeam-Backend-Load", fmt.Sprintf("1,0,%d,100", memorySlots))
		if r.ContentLength > 0 {
			s.uploadsBegun.Add(1)
			if s.slow {
				_, _ = io.CopyN(io.Discard, r.Body, 1)
				<-s.resume
			}
			_, _ = io.Copy(io.Discard, r.Body)
			return
		}
		if !strings.HasSuffix(r.URL.Path, "large") {
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(memoryBodyBytes))
		for range memoryBodyBytes / len(memoryFill) {
			if _, err := w.Write(memoryFill); err != nil {
				return
			}
		}
	}
}

// run starts all requests at once and lets the slow sides go on after memoryHold.
func (s *memorySite) run(callers, uploads int) {
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() { s.count(s.get("large")) })
	}
	for range uploads {
		wg.Go(func() { s.count(s.upload()) })
	}
	if s.slow {
		time.Sleep(memoryHold)
		s.logState()
	}
	close(s.resume)
	wg.Wait()
}

// logState logs how many requests are in progress while the slow sides wait.
func (s *memorySite) logState() {
	m := s.memory()
	s.t.Logf("while the slow sides wait: VmRSS %d MB, %d answers and %d uploads in progress, %d complete, %d refused, %d failed",
		m["VmRSS"]>>10, s.answersBegun.Load(), s.uploadsBegun.Load(), s.complete.Load(), s.refused.Load(), s.failed.Load())
}

func (s *memorySite) count(status int) {
	switch status {
	case http.StatusOK:
		s.complete.Add(1)
	case 0:
		s.failed.Add(1)
	default:
		s.refused.Add(1)
	}
}

func (s *memorySite) dial() (net.Conn, error) {
	c, err := net.DialTimeout("tcp", net.JoinHostPort(s.host.ip, "8001"), 5*time.Second)
	if err == nil {
		_ = c.(*net.TCPConn).SetReadBuffer(socketBuffer)
		_ = c.(*net.TCPConn).SetWriteBuffer(socketBuffer)
		_ = c.SetDeadline(time.Now().Add(60 * time.Second))
	}
	return c, err
}

// get requests an answer and returns its status, 0 if it is incomplete. A slow caller reads
// the head and waits before it reads the body.
func (s *memorySite) get(name string) int {
	c, err := s.dial()
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "GET /get/%s HTTP/1.1\r\nHost: x\r\nGalenabeam-Request-Id: m%d\r\n\r\n", name, s.requests.Add(1))
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	if name == "large" && resp.StatusCode == http.StatusOK {
		s.answersBegun.Add(1)
		if s.slow {
			<-s.resume
		}
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != resp.ContentLength {
		return 0
	}
	return resp.StatusCode
}

// upload sends a body and returns the status of the answer, 0 if there is none.
func (s *memorySite) upload() int {
	c, err := s.dial()
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /upload/x HTTP/1.1\r\nHost: x\r\nGalenabeam-Request-Id: m%d\r\nContent-Length: %d\r\n\r\n", s.requests.Add(1), memoryBodyBytes)
	go func() {
		for range memoryBodyBytes / len(memoryFill) {
			if _, err := c.Write(memoryFill); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// memory returns the sizes in KiB that the kernel gives for the process, by name.
func (s *memorySite) memory() map[string]int {
	s.host.mu.Lock()
	pid := s.host.cmd.Process.Pid
	s.host.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		s.t.Fatal(err)
	}
	sizes := map[string]int{}
	for line := range strings.Lines(string(raw)) {
		var name string
		var n int
		if _, err := fmt.Sscanf(line, "%s %d kB", &name, &n); err == nil {
			sizes[strings.TrimSuffix(name, ":")] = n
		}
	}
	return sizes
}
