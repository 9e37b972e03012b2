package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case "descriptors". The traffic is that of the site's sheet: 190
// look-ups and 75 declarations a second, from users who keep their connections.
const (
	descriptorUsers = 3200
	// userPeriod is the time between two requests of a user. It stays within four fifths
	// of the idle timeout of 15 s.
	userPeriod = 11500 * time.Millisecond
	// usersPerClient is the number of users who share a directory cache.
	usersPerClient = 50
	// removeAt, addAt and descriptorsLength count from the start of the traffic.
	removeAt          = 15 * time.Second
	addAt             = 32 * time.Second
	descriptorsLength = 45 * time.Second
	// minDescriptors are those of this process, with the users and the servers.
	minDescriptors = descriptorUsers + 1200
)

// userStats are what the users saw.
type userStats struct {
	sent, answered, refused, failed atomic.Int64
	mu                              sync.Mutex
	// lost are the requests that ran, or began to, and whose connection ended without an answer, by the
	// address of the host, with the time of the end.
	lost map[string][]lostRequest
}

type lostRequest struct {
	id string
	at time.Time
}

// user sends a request from time to time on a connection that it keeps.
type user struct {
	d        *Deployment
	resolver *Resolver
	stats    *userStats
	declares bool // sends declarations, which must not run twice
}

func (u *user) run(offset time.Duration, stop <-chan struct{}) {
	timer := time.NewTimer(offset)
	defer timer.Stop()
	var conn *Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-timer.C:
		}
		timer.Reset(userPeriod)
		conn = u.request(conn)
	}
}

// request sends one request and returns the connection for the next one.
func (u *user) request(conn *Conn) *Conn {
	if conn != nil && !conn.IsOpen() {
		_ = conn.Close()
		conn = nil
	}
	var failed []string
	for conn == nil && len(failed) < 3 {
		address := u.resolver.Pick(failed)
		if address == "" {
			return nil
		}
		var err error
		if conn, err = Dial(address); err != nil {
			conn, failed = nil, append(failed, address)
		}
	}
	if conn == nil {
		return nil
	}
	id, method, path, deadline := newID(), "GET", "/tables/1", 3*time.Second
	var body []byte
	if u.declares {
		method, path, deadline, body = "POST", "/declarations/1", 4*time.Second, make([]byte, 1200)
	}
	u.stats.sent.Add(1)
	u.d.Record.Linef("sent id=%s %s %s to=%s earlier_answers=%d", id, method, path, conn.Address, conn.Answered)
	if err := conn.Send(method, path, id, deadline, body); err != nil {
		u.d.Record.Linef("not sent id=%s: %v", id, err)
		_ = conn.Close()
		return nil
	}
	_ = conn.SetReadDeadline(time.Now().Add(deadline))
	resp, err := conn.Receive(method)
	if err != nil {
		u.noAnswer(conn, id, err)
		return nil
	}
	u.d.Record.Linef("answered id=%s status=%d", id, resp.Status)
	switch {
	case resp.Status == 200:
		u.stats.answered.Add(1)
	case resp.Status == 503:
		u.stats.refused.Add(1)
	default:
		u.stats.failed.Add(1)
	}
	if resp.Close {
		_ = conn.Close()
		return nil
	}
	_ = conn.SetReadDeadline(time.Time{})
	return conn
}

// noAnswer records a request without an answer. It counts as lost if the host ended the
// connection, on which it had answered before, after a server had begun to run the request.
func (u *user) noAnswer(conn *Conn, id string, err error) {
	_ = conn.Close()
	u.stats.failed.Add(1)
	u.d.Record.Linef("no answer id=%s from=%s earlier_answers=%d runs=%d: %v", id, conn.Address, conn.Answered, u.d.Runs.Of(id), err)
	if timeout, ok := err.(interface{ Timeout() bool }); ok && timeout.Timeout() {
		return
	}
	if conn.Answered == 0 || u.d.Runs.Of(id) == 0 {
		return
	}
	u.stats.mu.Lock()
	defer u.stats.mu.Unlock()
	u.stats.lost[conn.Address] = append(u.stats.lost[conn.Address], lostRequest{id, time.Now()})
}

// runDescriptors removes one of two entry hosts for good and adds another one while the
// users' connections use up the descriptors of the host that remains.
func runDescriptors(folder string, trouble bool) (bool, error) {
	d, err := NewDeployment(folder, []Route{
		{Name: "r-lookup", Kind: "idempotent", Prefix: "/tables/", Service: "talnabrunnur", Objective: 500 * time.Millisecond, Timeout: 2 * time.Second, Priority: 0, MaxAttempts: 2},
		{Name: "r-declare", Kind: "non_idempotent", Prefix: "/declarations/", Service: "yfirlysingar", Objective: 600 * time.Millisecond, Timeout: 2500 * time.Millisecond, Priority: 1, MaxAttempts: 2},
	})
	if err != nil {
		return false, err
	}
	defer d.Close()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < minDescriptors {
		return false, fmt.Errorf("this process needs %d descriptors and may have %d", minDescriptors, limit.Cur)
	}
	if err := d.AddBackends(22, BackendSpec{Service: "talnabrunnur", Slots: 4, Queue: 12, Work: 300 * time.Millisecond, BodyBytes: 5000}, "sandgerdi", "grindavik"); err != nil {
		return false, err
	}
	if err := d.AddBackends(12, BackendSpec{Service: "yfirlysingar", Slots: 4, Queue: 12, Work: 350 * time.Millisecond, BodyBytes: 5000}, "sandgerdi", "grindavik"); err != nil {
		return false, err
	}
	if err := d.AddHosts("sandgerdi", "grindavik"); err != nil {
		return false, err
	}
	stats := &userStats{lost: map[string][]lostRequest{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var resolver *Resolver
	for i := range descriptorUsers {
		if i%usersPerClient == 0 {
			zone, directories := "sandgerdi", []string{d.Hosts[0].Directory, d.Hosts[1].Directory}
			if i/usersPerClient%2 > 0 {
				zone, directories = "grindavik", []string{d.Hosts[1].Directory, d.Hosts[0].Directory}
			}
			resolver = NewResolver("sudvestur", zone, directories)
		}
		u := &user{d: d, resolver: resolver, stats: stats, declares: i%7 < 2}
		wg.Go(func() { u.run(userPeriod*time.Duration(i)/descriptorUsers, stop) })
	}
	remaining, removed := d.Hosts[0], d.Hosts[1]
	started := time.Now()
	if trouble {
		time.Sleep(removeAt)
		d.Record.Sayf("%s is removed for good", removed.Name)
		removed.Signal(syscall.SIGKILL)
		time.Sleep(time.Until(started.Add(addAt)))
		d.Record.Sayf("a host at a new address is added in its place")
		added, err := NewHost("front-grindavik-3", "grindavik", d.Net+".12", d.folder, d.Store.Address, d.Record)
		if err != nil {
			return false, err
		}
		added.seeds = []string{remaining.Control}
		d.Hosts = append(d.Hosts, added)
		if err := added.Start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(started.Add(descriptorsLength)))
	endedByItself := remaining.HasEnded()
	close(stop)
	wg.Wait()
	if endedByItself {
		d.Record.Sayf("%s ended by itself: exit code %d; last lines of its log:\n%s", remaining.Name, remaining.cmd.ProcessState.ExitCode(), remaining.LogTail(600))
	}
	d.Record.Sayf("requests: sent %d, answered 200 %d, refused %d, failed or without an answer %d", stats.sent.Load(), stats.answered.Load(), stats.refused.Load(), stats.failed.Load())
	lost := len(stats.lost[remaining.Front])
	d.Record.Sayf("LOST: %s, which was not disturbed, ended %d kept connections without an answer after a sound server had begun to run the request (bound: 3)", remaining.Name, lost)
	if stats.answered.Load() < stats.sent.Load()/10 {
		return false, fmt.Errorf("too few requests were answered for a verdict")
	}
	return lost > 3, nil
}
