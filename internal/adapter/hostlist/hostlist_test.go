package hostlist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/galenabeam/galenabeam/internal/adapter/hostlist"
	fake "github.com/galenabeam/galenabeam/internal/fake/hostlist"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"
)

// clock is a manual clock.
type clock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

func listed(id, addr string) member.Listed {
	return member.Listed{
		ID: host.ID("host-" + id), Region: "nordur", FailureDomain: "nordur-1",
		RPCAddress: addr + ":7100", HTTPAddress: addr + ":8080", State: member.ListedLive,
	}
}

// Guards against a stand-in that behaves differently from the client, as all tests
// of the control plane rely on it.
func TestContract(t *testing.T) {
	for _, tc := range []struct {
		desc string
		make func(t *testing.T, l *fake.List) member.HostList
	}{
		{"fake", func(_ *testing.T, l *fake.List) member.HostList { return l }},
		{"client over HTTP", func(t *testing.T, l *fake.List) member.HostList {
			srv := httptest.NewServer(l)
			t.Cleanup(srv.Close)
			return hostlist.New(srv.URL+"/", srv.Client(), metrics.NewRegistry())
		}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			ctx := context.Background()
			c := &clock{t: time.Unix(1000, 0)}
			l := fake.New(c.now)
			list := tc.make(t, l)

			hosts, err := list.Hosts(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(hosts).To(BeEmpty())

			a, b := listed("a", "10.0.0.1"), listed("b", "10.0.0.2")
			l.Put(b)
			l.Put(a)
			g.Expect(list.Hosts(ctx)).To(Equal([]member.Listed{a, b}))

			l.SetLag(15 * time.Second)
			c.advance(20 * time.Second)
			l.SetState(a.ID, member.ListedLeaving)
			l.Remove(b.ID)
			g.Expect(list.Hosts(ctx)).To(Equal([]member.Listed{a, b}), "the answer lags")
			c.advance(15 * time.Second)
			a.State = member.ListedLeaving
			g.Expect(list.Hosts(ctx)).To(Equal([]member.Listed{a}))

			l.SetDown(true)
			_, err = list.Hosts(ctx)
			g.Expect(err).To(MatchError(member.ErrListUnavailable))
			l.SetDown(false)
			g.Expect(list.Hosts(ctx)).To(HaveLen(1))

			l.SetDelay(time.Hour)
			short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
			defer cancel()
			_, err = list.Hosts(short)
			g.Expect(err).To(MatchError(context.DeadlineExceeded))
		})
	}
}

// Guards against accepting an incomplete or contradictory answer: hosts missing
// from it would be treated as ended.
func TestInvalidAnswers(t *testing.T) {
	const ok = `{"id":"a","region":"r","failure_domain":"d","rpc_address":"10.0.0.1:1","http_address":"10.0.0.1:2","state":"live"}`
	for _, tc := range []struct{ desc, body, want string }{
		{"not JSON", `oops`, "invalid character"},
		{"truncated", `{"hosts":[` + ok, "unexpected end"},
		{"no list", `{}`, "no hosts array"},
		{"no id", `{"hosts":[{"region":"r"}]}`, "entry 0"},
		{"listed twice", `{"hosts":[` + ok + `,` + ok + `]}`, "listed twice"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(tc.body))
			}))
			defer srv.Close()
			registry := metrics.NewRegistry()
			_, err := hostlist.New(srv.URL, srv.Client(), registry).Hosts(context.Background())
			g.Expect(err).To(MatchError(hostlist.ErrInvalidList))
			g.Expect(err).To(MatchError(member.ErrListUnavailable))
			g.Expect(err.Error()).To(ContainSubstring(tc.want))
			g.Expect(metrics.GetOrRegisterCounter("hostlist.errors", registry).Count()).To(BeEquivalentTo(1))
		})
	}
}

// Guards against one wrong field that makes the whole list unavailable, which
// would make every lessor stop.
func TestUnusableFieldsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"hosts":[{"id":"a","region":"r","failure_domain":"d",
			"rpc_address":"db:1","http_address":"10.0.0.1:2","state":"odd"}]}`))
	}))
	defer srv.Close()
	registry := metrics.NewRegistry()
	g.Expect(hostlist.New(srv.URL, srv.Client(), registry).Hosts(context.Background())).To(Equal([]member.Listed{
		{ID: "a", Region: "r", FailureDomain: "d", HTTPAddress: "10.0.0.1:2", State: member.ListedLive}}))
	g.Expect(metrics.GetOrRegisterGauge("hostlist.problems", registry).Value()).To(BeEquivalentTo(2))
}

// Guards against a problem reported for each listed backend server, as they have no
// JSON-RPC address.
func TestBackendServersNeedNoRPCAddress(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"hosts":[{"id":"a","region":"r","failure_domain":"d",
			"http_address":"10.0.0.1:2","state":"live","kind":"backend-server"}]}`))
	}))
	defer srv.Close()
	registry := metrics.NewRegistry()
	_, err := hostlist.New(srv.URL, srv.Client(), registry).Hosts(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(metrics.GetOrRegisterGauge("hostlist.problems", registry).Value()).To(BeZero())
}
