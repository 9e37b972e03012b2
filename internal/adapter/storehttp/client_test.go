package storehttp_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/galenabeam/galenabeam/internal/adapter/storehttp"
	fakestore "github.com/galenabeam/galenabeam/internal/fake/store"
	"github.com/galenabeam/galenabeam/internal/store"
	"github.com/galenabeam/galenabeam/internal/store/storetest"
	"github.com/galenabeam/galenabeam/internal/store/storewire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T, url, client string, wait time.Duration) *storehttp.Client {
	c, err := storehttp.New(storehttp.Config{URL: url, Client: client, Wait: wait})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(c.Close)
	return c
}

// Guards against deviations from the contract of store.Store, such as an error that
// says the wrong thing about whether a write took effect.
func TestContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Fixture {
		service := fakestore.New()
		server, err := service.Listen("127.0.0.1:0")
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = server.Close() })
		return storetest.Fixture{Service: service, Open: func(client string) store.Store { return newClient(t, server.URL(), client, 0) }}
	})
}

// Guards against unusable answers that are reported as success, and writes with an
// unknown result that are reported as not executed.
func TestUnusableAnswers(t *testing.T) {
	cases := []struct {
		desc        string
		handler     http.HandlerFunc
		read, write error
	}{
		{"connection broken after the request", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, store.ErrUnavailable, store.ErrUncertain},
		{"no JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }, store.ErrUnavailable, store.ErrUncertain},
		{"no revision", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, nil, store.ErrUncertain},
		{"no content", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, store.ErrUnavailable, store.ErrUncertain},
		{"gateway error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, store.ErrUnavailable, store.ErrUncertain},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
		}, store.ErrUnavailable, store.ErrUncertain},
		{"oversized", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, storewire.MaxBodyBytes+1))
		}, store.ErrUnavailable, store.ErrUncertain},
		{"unavailable", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"code":"unavailable"}`))
		}, store.ErrUnavailable, store.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client := newClient(t, server.URL, "a", 0)
			_, err := client.Get(t.Context(), "/k")
			if c.read == nil {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				g.Expect(err).To(gomega.MatchError(c.read))
			}
			_, err = client.CompareAndSwap(t.Context(), "/k", 0, nil, 0)
			g.Expect(err).To(gomega.MatchError(c.write))
		})
	}
}

// Guards against a refused connection that is reported as uncertain: the
// caller would have to resolve a write that was never sent.
func TestRefusedConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	url := "http://" + listener.Addr().String()
	g.Expect(listener.Close()).To(gomega.Succeed())
	_, err = newClient(t, url, "a", 0).CompareAndSwap(t.Context(), "/k", 0, nil, 0)
	g.Expect(err).To(gomega.MatchError(store.ErrUnavailable))
	g.Expect(err).NotTo(gomega.MatchError(store.ErrUncertain))
}

// Guards against a watch that ends when one of its long polls ends without a
// change.
func TestWatchRepeatsLongPoll(t *testing.T) {
	g := gomega.NewWithT(t)
	service := fakestore.New()
	server, err := service.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	client := newClient(t, server.URL(), "a", 20*time.Millisecond)
	seen := make(chan store.Entry, 1)
	go func() {
		entry, _ := client.Watch(ctx, "/k", 0)
		seen <- entry
	}()
	g.Eventually(func() int64 { return service.Counts().Watches }, 5*time.Second).Should(gomega.BeNumerically(">=", 3))
	_, err = service.Client("b").CompareAndSwap(ctx, "/k", 0, []byte("1"), 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(seen, 5*time.Second).Should(gomega.Receive(gomega.HaveField("Key", "/k")))
}

// Guards against an invalid URL that is reported only at the first call.
func TestNewRejectsURL(t *testing.T) {
	for _, url := range []string{"", "10.0.0.1:7400", "http://", "http://a b"} {
		_, err := storehttp.New(storehttp.Config{URL: url})
		gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred(), url)
	}
}
