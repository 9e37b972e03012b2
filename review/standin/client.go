package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Resolver is the directory cache of one client.
type Resolver struct {
	directories  []string
	region, zone string

	mu        sync.Mutex
	addresses []string
	until     time.Time
	http      *http.Client
}

// NewResolver returns an empty cache. directories are in the order in which they are asked.
func NewResolver(region, zone string, directories []string) *Resolver {
	return &Resolver{
		directories: directories, region: region, zone: zone,
		http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Addresses returns the latest answer of the directory, a new one if its time is over
// and a directory answers.
func (r *Resolver) Addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.until) {
		return r.addresses
	}
	for _, d := range r.directories {
		resp, err := r.http.Get(fmt.Sprintf("http://%s/v1/resolve?name=%s&region=%s&zone=%s", d, hostName, r.region, r.zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       string   `json:"ttl"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		ttl, terr := time.ParseDuration(answer.TTL)
		if err != nil || terr != nil || len(answer.Addresses) == 0 {
			continue
		}
		r.addresses, r.until = answer.Addresses, time.Now().Add(min(ttl, 5*time.Second))
		return r.addresses
	}
	r.until = time.Now().Add(200 * time.Millisecond)
	return r.addresses
}

// Pick returns one of the addresses at random, other than those that failed.
func (r *Resolver) Pick(failed []string) string {
	var list []string
	for _, a := range r.Addresses() {
		if !slices.Contains(failed, a) {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return ""
	}
	return list[mathrand.IntN(len(list))]
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	Address string
	br      *bufio.Reader
	// Answered counts the answers on the connection.
	Answered int
}

// Dial opens a connection within one second.
func Dial(address string) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: nc, Address: address, br: bufio.NewReader(nc)}, nil
}

// Response is an answer with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Close  bool
}

// Send writes a request.
func (c *Conn) Send(method, path, id string, deadline time.Duration, body []byte) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nGalenabeam-Request-Id: %s\r\nGalenabeam-Deadline-Ms: %d\r\n", method, path, hostName, id, deadline.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, err := io.WriteString(c.Conn, b.String())
	return err
}

// Receive reads the next answer.
func (c *Conn) Receive(method string) (*Response, error) {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("answer broke off after %d bytes of its body: %w", len(body), err)
	}
	c.Answered++
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: resp.Close}, nil
}

// IsOpen reports whether a kept connection is open and has no unread bytes.
func (c *Conn) IsOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	_, err := c.br.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
