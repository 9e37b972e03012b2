// Package daemon assembles an entry host from its parts and runs them as
// actors: the control goroutine, the JSON-RPC server and the HTTP server.
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

// idleTimeout ends connections of callers that send nothing.
const idleTimeout = 2 * time.Minute

// Daemon is one entry host.
type Daemon struct {
	opts     Options
	self     host.Info
	log      *logrus.Entry
	metrics  metrics.Registry
	httpL    net.Listener
	rpcL     net.Listener
	adminL   net.Listener // nil without an administration API
	admin    *http.Server
	peers    *rpc.Client
	backends *backend.Client
	slots    *owner.Slots
	edge     *edge.Edge
	control  *control.Control
	views    *view.Publisher
	router   *router.Router
	http     *http.Server
	rpc      *rpc.Server
	// endRequests cancels the requests in progress.
	endRequests context.CancelFunc
}

// New listens on the daemon's addresses and assembles it. Call Run next.
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
	httpL, err := net.Listen("tcp", o.HTTPAddress)
	if err != nil {
		return nil, trace.Wrap(err, "listening for callers on %s", o.HTTPAddress)
	}
	rpcL, err := net.Listen("tcp", o.RPCAddress)
	if err != nil {
		_ = httpL.Close()
		return nil, trace.Wrap(err, "listening for entry hosts on %s", o.RPCAddress)
	}
	var adminL net.Listener
	if o.AdminAddress != "" {
		if adminL, err = net.Listen("tcp", o.AdminAddress); err != nil {
			_, _ = httpL.Close(), rpcL.Close()
			return nil, trace.Wrap(err, "listening for operators on %s", o.AdminAddress)
		}
	}
	d := &Daemon{opts: o, httpL: httpL, rpcL: rpcL, adminL: adminL, metrics: o.Metrics, views: &view.Publisher{}}
	d.self = host.Info{ID: o.ID, Incarnation: host.NewIncarnation(time.Now()), Region: o.Region, FailureDomain: o.FailureDomain,
		RPCAddress: advertised(o.AdvertiseRPC, rpcL), HTTPAddress: advertised(o.AdvertiseHTTP, httpL)}
	d.log = o.Log.WithFields(logrus.Fields{"host": o.ID, "region": o.Region})
	d.assemble()
	return d, nil
}

func (d *Daemon) assemble() {
	d.peers = rpc.NewClient(d.opts.PeerDial)
	d.backends = backend.NewClient()
	if a, ok := d.httpL.Addr().(*net.TCPAddr); ok && !a.IP.IsUnspecified() {
		d.backends = backend.NewClientFrom(a.IP)
	}
	d.router = router.New(d.self.Region)
	d.slots = owner.NewSlots(d.self.Incarnation, d.views, d.peers)
	d.edge = edge.New(edge.Config{Self: d.self, LookupTTL: edge.DefaultLookupTTL, IdentityWindow: edge.DefaultIdentityWindow,
		LedgerCapacity: edge.DefaultLedgerCapacity}, d.views, d.slots, d.backends, d.router, d.peers, d.log, d.metrics)
	d.control = control.New(control.Options{Self: d.self, Views: d.views, Slots: d.slots, Peers: d.peers, HostList: d.opts.HostList, Store: d.opts.Store, Edge: d.edge, Router: d.router, Backends: d.backends,
		Log: d.log, Metrics: d.metrics, Seed: int64(d.self.Incarnation)})
	api := admin.New(&adminConfig{d: d, store: d.opts.Store}, &adminState{d: d}, d.metrics, d.opts.Tokens, admin.Options{
		InternalError: func(path string, err error) {
			d.log.WithField("path", path).WithError(err).Error("administration call failed")
		}})
	d.admin = api.Server()
	d.admin.TLSConfig, d.admin.ErrorLog = d.opts.AdminTLS, quietLog()
	d.rpc = rpc.NewServer(d.opts.PeerServerTLS)
	d.handlePeers()
	d.http = &http.Server{Handler: limitBodies(d.edge.Handler(), d.opts.MaxBodyBytes), ReadHeaderTimeout: d.opts.HeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: d.opts.MaxHeaderBytes, ErrorLog: quietLog()}
	var base context.Context
	base, d.endRequests = context.WithCancel(context.Background())
	d.http.BaseContext = func(net.Listener) context.Context { return base }
}

// quietLog drops what net/http would print about single connections: broken
// ones are normal, and aborted answers are counted by the edge.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }

// Self describes this run of the daemon.
func (d *Daemon) Self() host.Info { return d.self }

// Control gives access to the control state.
func (d *Daemon) Control() *control.Control { return d.control }

// Run serves until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	waitCtx, stopWait := context.WithCancel(context.Background())
	controlCtx, stopControl := context.WithCancel(context.Background())
	g.Add(func() error { return d.control.Run(controlCtx) }, func(error) { stopControl() })
	g.Add(func() error { return d.rpc.Serve(d.rpcL) }, func(error) { _ = d.rpcL.Close(); d.rpc.Close() })
	g.Add(func() error { return d.serveHTTP(waitCtx) }, func(error) { _ = d.http.Close() })
	if d.adminL != nil {
		g.Add(func() error { return d.serveAdmin(waitCtx) }, func(error) { _ = d.admin.Close() })
	}
	if len(d.opts.TLSSources) > 0 {
		g.Add(func() error { return d.reloadTLS(waitCtx) }, func(error) { stopWait() })
	}
	g.Add(func() error { return d.waitShutdown(ctx, waitCtx) }, func(error) { stopWait() })
	d.log.WithFields(logrus.Fields{"http": d.self.HTTPAddress, "rpc": d.self.RPCAddress, "incarnation": d.self.Incarnation}).Info("entry host started")
	err := g.Run()
	d.endRequests()
	d.peers.Close()
	d.backends.Close()
	d.log.Info("entry host stopped")
	return err
}

// serveAdmin serves operators until the end of the shutdown.
func (d *Daemon) serveAdmin(stop context.Context) error {
	var err error
	if d.admin.TLSConfig != nil {
		err = d.admin.ServeTLS(d.adminL, "", "")
	} else {
		err = d.admin.Serve(d.adminL)
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-stop.Done()
		return nil
	}
	return trace.Wrap(err)
}

// reloadTLS loads certificates again when their files change.
func (d *Daemon) reloadTLS(stop context.Context) error {
	for _, src := range d.opts.TLSSources {
		go src.Run(stop, tlsconf.PollInterval, func(err error) {
			if err != nil {
				d.log.WithError(err).Error("certificates not reloaded")
				return
			}
			d.log.WithField("expires", src.Expires()).Info("certificates reloaded")
		})
	}
	<-stop.Done()
	return nil
}

// AdminAddress returns the address of the administration API, or "".
func (d *Daemon) AdminAddress() string {
	if d.adminL == nil {
		return ""
	}
	return d.adminL.Addr().String()
}

// serveHTTP serves callers. After a graceful end it waits for the other steps
// of the shutdown, because the first actor that returns ends all of them.
func (d *Daemon) serveHTTP(stop context.Context) error {
	err := d.http.Serve(d.httpL)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-stop.Done()
		return nil
	}
	return trace.Wrap(err)
}
