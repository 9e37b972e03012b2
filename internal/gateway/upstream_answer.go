package gateway

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenabeam/galenabeam/internal/attribution"
	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/serverhold"
)

// readResponse reads the head of the answer to the request and decides on its use, which
// is PassOn, Refused or Misdirected. It skips up to maxStaleAnswers answers to other
// requests.
func (u *upstream) readResponse(conn *upstreamConn, c *upstreamCall, signals *serverSignals) (*http.Response, attribution.Verdict, error) {
	for range maxStaleAnswers + 1 {
		resp, err := conn.readHead(c.request.HTTP)
		if err != nil {
			return nil, attribution.Unusable, err
		}
		a := u.answerOf(conn, c, resp)
		verdict := attribution.Decide(a)
		u.readSignals(resp, a.Identity, signals)
		if verdict == attribution.Unusable {
			return nil, verdict, errUnusable
		}
		if verdict != attribution.Skip {
			return resp, verdict, nil
		}
		if err := conn.discardBody(resp); err != nil {
			return nil, verdict, err
		}
		if resp.Close || endsWithConnection(resp) {
			break
		}
	}
	return nil, attribution.Unusable, errWrongRequest
}

// answerOf returns what decides on the use of an answer to the request.
func (u *upstream) answerOf(conn *upstreamConn, c *upstreamCall, resp *http.Response) attribution.Answer {
	a := attribution.Answer{
		Status: resp.StatusCode, NotRun: resp.Header.Get(u.headers.NotRun) != "", Signed: resp.Header.Get(u.headers.Signature) != "",
		Kept: conn.kept, Repeatable: c.repeatable, Identity: attribution.Other,
	}
	switch id := resp.Header.Get(u.headers.RequestID); {
	case id == "":
		a.Identity = attribution.Missing
	case id == c.id:
		a.Identity = attribution.Own
	}
	return a
}

// readSignals adds what an answer says about its server. Another server may have sent
// an answer with status 421. A pause counts only from the request's own answer, as an
// earlier one that is sent once more says nothing new.
func (u *upstream) readSignals(resp *http.Response, identity attribution.Identity, signals *serverSignals) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if v := resp.Header.Get(u.headers.Leaving); v != "" && v != "0" {
		signals.leaving = true
	}
	if resp.StatusCode == http.StatusServiceUnavailable && identity == attribution.Own {
		signals.pause = parseRetryAfter(resp.Header.Get("Retry-After"))
	}
}

// parseRetryAfter returns the time of a Retry-After header in seconds, at most
// serverhold.MaxRetryAfter, or 0 if it is malformed.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, serverhold.MaxRetryAfter.Seconds()) * float64(time.Second))
}

// endsWithConnection reports whether only the end of the connection ends the body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readAnswer reads the body of an answer, up to maxBufferedAnswer bytes, and classifies
// the answer. A refusal counts only if it is complete. For an answer that ends with the
// connection, see requestWrite.
func (u *upstream) readAnswer(ctx context.Context, conn *upstreamConn, c *upstreamCall, resp *http.Response, verdict attribution.Verdict, write *requestWrite, stop func() bool) reply {
	r := reply{result: dispatch.Served, mayHaveRun: true, load: parseLoad(resp.Header.Get(u.headers.Load))}
	if verdict == attribution.Refused || verdict == attribution.Misdirected {
		if err := u.discardRefusal(ctx, conn, resp, write); err != nil {
			stop()
			_ = conn.Close()
			return c.failedReply(ctx, err)
		}
		r.result, r.mayHaveRun = dispatch.Shed, false
		if verdict == attribution.Misdirected {
			r.result = dispatch.Misdirected
		}
		u.releaseConn(conn, c, resp, write, stop)
		return r
	}
	write.checkEnd(ctx, resp, u.now)
	body, ended, reserved, err := u.bodies.readUpTo(resp.Body, resp.ContentLength, maxBufferedAnswer)
	if err != nil {
		u.bodies.give(reserved)
		stop()
		_ = conn.Close()
		return c.failedReply(ctx, err)
	}
	if resp.StatusCode >= 500 {
		r.result = dispatch.Failed
	}
	header := resp.Header
	stripHopByHop(header)
	r.answer = &Answer{Status: resp.StatusCode, Header: header, Body: body}
	if ended {
		u.releaseConn(conn, c, resp, write, stop)
		if reserved > 0 {
			r.answer.Done = func(bool) { u.bodies.give(reserved) }
		}
		return r
	}
	r.answer.Rest, r.answer.Length = resp.Body, resp.ContentLength
	r.answer.Done = func(complete bool) {
		u.bodies.give(reserved)
		if complete {
			u.releaseConn(conn, c, resp, write, stop)
			return
		}
		stop()
		_ = conn.Close()
	}
	return r
}

// discardRefusal reads the body of a refusal within the bounds.
func (u *upstream) discardRefusal(ctx context.Context, conn *upstreamConn, resp *http.Response, write *requestWrite) error {
	ctx, cancel := context.WithTimeout(ctx, maxUnusedBodyTime)
	defer cancel()
	write.checkEnd(ctx, resp, u.now)
	return conn.discardBody(resp)
}

// releaseConn stores the connection for reuse if the request was written completely
// and the server keeps the connection open, and otherwise closes it.
func (u *upstream) releaseConn(conn *upstreamConn, c *upstreamCall, resp *http.Response, write *requestWrite, stop func() bool) {
	if !stop() || !write.succeeded() || resp.Close || endsWithConnection(resp) || conn.br.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	conn.idleTimeout = defaultIdleTimeout
	if timeout, ok := parseKeepAlive(resp.Header.Get("Keep-Alive")); ok {
		conn.idleTimeout = min(defaultIdleTimeout, timeout-idleTimeoutMargin)
	}
	if conn.idleTimeout <= 0 {
		_ = conn.Close()
		return
	}
	u.putIdle(serverOf(c.backend), conn, c.maxIdleConns)
}

// parseKeepAlive returns the timeout of a Keep-Alive header, if there is one.
func parseKeepAlive(value string) (time.Duration, bool) {
	for _, part := range strings.Split(value, ",") {
		name, seconds, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(seconds))
		if err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// parseLoad parses "running,waiting,slots" or "running,waiting,slots,percent". It returns
// nil for malformed values. A percentage that no pool uses counts as not reported.
func parseLoad(value string) *dispatch.Load {
	parts := strings.Split(value, ",")
	if len(parts) != 3 && len(parts) != 4 {
		return nil
	}
	percent := 0.0
	if len(parts) == 4 {
		var err error
		if percent, err = strconv.ParseFloat(strings.TrimSpace(parts[3]), 64); err != nil {
			return nil
		}
		if !(percent >= dispatch.MinPercent && percent <= dispatch.MaxPercent) {
			percent = 0
		}
	}
	var n [3]int
	for i, p := range parts[:3] {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	return &dispatch.Load{Running: n[0], Waiting: n[1], Slots: n[2], Percent: int(math.Round(percent))}
}
