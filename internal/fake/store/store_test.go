package fakestore_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	fakestore "github.com/galenabeam/galenabeam/internal/fake/store"
	"github.com/galenabeam/galenabeam/internal/store"
	"github.com/galenabeam/galenabeam/internal/store/storetest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestContract guards against a stand-in that breaks the contract of store.Store, so
// that tests on it prove nothing about the real service.
func TestContract(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.Fixture {
		service := fakestore.New()
		return storetest.Fixture{Service: service, Open: service.Client}
	})
}

// TestWatchEndsWhenServiceGoesDown guards against a watch that keeps waiting
// after the service goes down, as no change of the key wakes it.
func TestWatchEndsWhenServiceGoesDown(t *testing.T) {
	g := gomega.NewWithT(t)
	service := fakestore.New()
	failed := make(chan error, 1)
	go func() {
		_, err := service.Client("a").Watch(context.Background(), "/k", 0)
		failed <- err
	}()
	g.Eventually(func() int64 { return service.Counts().Waiting }).Should(gomega.Equal(int64(1)))
	service.SetFaults(fakestore.Faults{Down: true})
	g.Eventually(failed, 5*time.Second).Should(gomega.Receive(gomega.MatchError(store.ErrUnavailable)))
}
