package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id        string
	status    int // 0 without an answer
	signature string
	body      []byte
	err       error
	sentAt    time.Time
	took      time.Duration
}

// resolve asks the directory of a host for the addresses of entry hosts.
func resolve(directory, region, zone string) ([]string, error) {
	q := url.Values{"name": {hostName}, "region": {region}, "zone": {zone}}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + directory + "/v1/resolve?" + q.Encode())
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var a struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, err
	}
	if len(a.Addresses) == 0 {
		return nil, errors.New("no addresses")
	}
	return a.Addresses, nil
}

// send sends one request on a new connection and reads the whole answer.
func send(address, method, path, id string, deadline time.Duration) result {
	res := result{id: id, sentAt: time.Now()}
	defer func() { res.took = time.Since(res.sentAt) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline))
	length := ""
	if method != http.MethodGet {
		length = "Content-Length: 0\r\n"
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nGalenabeam-Request-Id: %s\r\nGalenabeam-Deadline-Ms: %d\r\n%s\r\n", method, path, hostName, id, deadline.Milliseconds(), length); err != nil {
		res.err = err
		return res
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		res.err = err
		return res
	}
	res.status, res.signature = resp.StatusCode, resp.Header.Get("Galenabeam-Backend-Signature")
	res.body, res.err = io.ReadAll(resp.Body)
	res.took = time.Since(res.sentAt)
	return res
}

// awaitAddresses asks the directory of a host until it answers.
func awaitAddresses(directory, region, zone string) ([]string, error) {
	deadline := time.Now().Add(8 * time.Second)
	for {
		list, err := resolve(directory, region, zone)
		if err == nil || time.Now().After(deadline) {
			return list, err
		}
		time.Sleep(50 * time.Millisecond)
	}
}
