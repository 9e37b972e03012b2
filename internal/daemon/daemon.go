// Package daemon assembles an entry host of galenabeamd without -platform and runs its
// components: the control goroutine, the JSON-RPC server, the HTTP server and the
// administration API.
package daemon

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/adapter/admin"
	"github.com/galenabeam/galenabeam/internal/adapter/backend"
	"github.com/galenabeam/galenabeam/internal/adapter/listen"
	"github.com/galenabeam/galenabeam/internal/adapter/rpc"
	"github.com/galenabeam/galenabeam/internal/control"
	"github.com/galenabeam/galenabeam/internal/edge"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/owner"
	"github.com/galenabeam/galenabeam/internal/router"
	"github.com/galenabeam/galenabeam/internal/settings"
	"github.com/galenabeam/galenabeam/internal/tlsconf"
	"github.com/galenabeam/galenabeam/internal/view"
)

// idleTimeout is how long an idle HTTP connection of a caller stays open.
const idleTimeout = 2 * time.Minute

// Daemon is one entry host.
type Daemon struct {
	opts          Options
	self          host.Info
	log           *logrus.Entry
	metrics       metrics.Registry
	httpListener  net.Listener
	rpcListener   net.Listener
	adminListener net.Listener // nil without an administration API
	admin         *http.Server
	peers         *rpc.Client
	backends      *backend.Client
	slots         *owner.SlotClient
	edge          *edge.Edge
	control       *control.Control
	views         *view.Publisher
	router        *router.Router
	http          *http.Server
	rpc           *rpc.Server
	// endRequests cancels the requests in flight.
	endRequests context.CancelFunc
}

// New opens the listeners and assembles the daemon; Run serves. Zero limits in o
// take the defaults of package settings, except Options.ShutdownLimit.
func New(o Options) (*Daemon, error) {
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = settings.DefaultHeaderTimeout
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = settings.DefaultMaxHeaderBytes
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = settings.DefaultMaxBodyBytes
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	httpListener, err := net.Listen("tcp", o.HTTPAddress)
	if err != nil {
		return nil, trace.Wrap(err, "listening for callers on %s", o.HTTPAddress)
	}
	rpcListener, err := net.Listen("tcp", o.RPCAddress)
	if err != nil {
		_ = httpListener.Close()
		return nil, trace.Wrap(err, "listening for entry hosts on %s", o.RPCAddress)
	}
	var adminListener net.Listener
	if o.AdminAddress != "" {
		if adminListener, err = net.Listen("tcp", o.AdminAddress); err != nil {
			_, _ = httpListener.Close(), rpcListener.Close()
			return nil, trace.Wrap(err, "listening for operators on %s", o.AdminAddress)
		}
	}
	httpListener, rpcListener = listen.Retry(httpListener, o.Log), listen.Retry(rpcListener, o.Log)
	if adminListener != nil {
		adminListener = listen.Retry(adminListener, o.Log)
	}
	d := &Daemon{opts: o, httpListener: httpListener, rpcListener: rpcListener, adminListener: adminListener, metrics: o.Metrics, views: &view.Publisher{}}
	d.self = host.Info{ID: o.ID, Incarnation: host.NewIncarnation(time.Now()), Region: o.Region, FailureDomain: o.FailureDomain,
		RPCAddress: advertisedAddress(o.AdvertiseRPC, rpcListener), HTTPAddress: advertisedAddress(o.AdvertiseHTTP, httpListener)}
	d.log = o.Log.WithFields(logrus.Fields{"host": o.ID, "region": o.Region})
	d.assemble()
	return d, nil
}

func (d *Daemon) assemble() {
	d.peers = rpc.NewClient(d.opts.PeerDial)
	d.backends = backend.NewClient()
	if a, ok := d.httpListener.Addr().(*net.TCPAddr); ok && !a.IP.IsUnspecified() {
		d.backends = backend.NewClientFrom(a.IP)
	}
	d.router = router.New(d.self.Region)
	d.slots = owner.NewSlotClient(d.self.Incarnation, d.views, d.peers)
	d.edge = edge.New(edge.Config{Self: d.self, LookupTTL: edge.DefaultLookupTTL, IdentityWindow: edge.DefaultIdentityWindow,
		LedgerCapacity: edge.DefaultLedgerCapacity}, d.views, d.slots, d.backends, d.router, d.peers, d.log, d.metrics)
	d.control = control.New(control.Options{Self: d.self, Views: d.views, Slots: d.slots, Peers: d.peers, HostList: d.opts.HostList, Store: d.opts.Store, Edge: d.edge, Router: d.router, Backends: d.backends,
		Log: d.log, Metrics: d.metrics, Seed: int64(d.self.Incarnation)})
	api := admin.New(&adminConfig{d: d, store: d.opts.Store}, &adminState{d: d}, d.metrics, d.opts.Tokens, admin.Options{
		InternalError: func(path string, err error) {
			d.log.WithField("path", path).WithError(err).Error("administration call failed")
		}})
	d.admin = api.Server()
	d.admin.TLSConfig, d.admin.ErrorLog = d.opts.AdminTLS, discardLogger()
	d.rpc = rpc.NewServer(d.opts.PeerServerTLS)
	d.registerPeerMethods()
	d.http = &http.Server{Handler: limitBodies(d.edge.Handler(), d.opts.MaxBodyBytes), ReadHeaderTimeout: d.opts.HeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: d.opts.MaxHeaderBytes, ErrorLog: discardLogger()}
	var requestCtx context.Context
	requestCtx, d.endRequests = context.WithCancel(context.Background())
	d.http.BaseContext = func(net.Listener) context.Context { return requestCtx }
}

// discardLogger drops net/http's messages about single connections: broken
// connections are normal, and package edge counts aborted answers.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// Self returns the identity and the addresses of this process.
func (d *Daemon) Self() host.Info { return d.self }

// Control returns the owner of the control state.
func (d *Daemon) Control() *control.Control { return d.control }

// Run serves until ctx ends, then shuts down gracefully. If a component fails, Run
// stops the others at once and returns the error.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	// groupCtx ends once the first actor of the group has returned.
	groupCtx, cancelGroup := context.WithCancel(context.Background())
	controlCtx, stopControl := context.WithCancel(context.Background())
	g.Add(func() error { return d.control.Run(controlCtx) }, func(error) { stopControl() })
	g.Add(func() error { return d.rpc.Serve(d.rpcListener) }, func(error) { _ = d.rpcListener.Close(); d.rpc.Close() })
	g.Add(func() error { return d.serveHTTP(groupCtx) }, func(error) { _ = d.http.Close() })
	if d.adminListener != nil {
		g.Add(func() error { return d.serveAdmin(groupCtx) }, func(error) { _ = d.admin.Close() })
	}
	if len(d.opts.TLSSources) > 0 {
		g.Add(func() error { return d.reloadTLS(groupCtx) }, func(error) { cancelGroup() })
	}
	g.Add(func() error { return d.waitShutdown(ctx, groupCtx) }, func(error) { cancelGroup() })
	d.log.WithFields(logrus.Fields{"http": d.self.HTTPAddress, "rpc": d.self.RPCAddress, "incarnation": d.self.Incarnation}).Info("entry host started")
	err := g.Run()
	d.endRequests()
	d.peers.Close()
	d.backends.Close()
	d.log.Info("entry host stopped")
	return err
}

// serveAdmin serves the administration API until the shutdown is complete.
func (d *Daemon) serveAdmin(groupCtx context.Context) error {
	var err error
	if d.admin.TLSConfig != nil {
		err = d.admin.ServeTLS(d.adminListener, "", "")
	} else {
		err = d.admin.Serve(d.adminListener)
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-groupCtx.Done()
		return nil
	}
	return trace.Wrap(err)
}

// reloadTLS reloads certificates when their files change.
func (d *Daemon) reloadTLS(groupCtx context.Context) error {
	for _, src := range d.opts.TLSSources {
		go src.Run(groupCtx, tlsconf.PollInterval, func(err error) {
			if err != nil {
				d.log.WithError(err).Error("certificates not reloaded")
				return
			}
			d.log.WithField("expires", src.Expires()).Info("certificates reloaded")
		})
	}
	<-groupCtx.Done()
	return nil
}

// AdminAddress returns the listen address of the administration API, or "" if it
// is not served.
func (d *Daemon) AdminAddress() string {
	if d.adminListener == nil {
		return ""
	}
	return d.adminListener.Addr().String()
}

// serveHTTP serves callers. When its server is shut down, it waits for the remaining
// steps of the shutdown, because the first actor that returns ends all others.
func (d *Daemon) serveHTTP(groupCtx context.Context) error {
	err := d.http.Serve(d.httpListener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-groupCtx.Done()
		return nil
	}
	return trace.Wrap(err)
}
