// Package daemon assembles an entry host from its parts and runs them as
// actors: the control goroutine, the JSON-RPC server and the HTTP server.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/adapter/backend"
	"github.com/galenabeam/galenabeam/internal/adapter/rpc"
	"github.com/galenabeam/galenabeam/internal/control"
	"github.com/galenabeam/galenabeam/internal/edge"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/owner"
	"github.com/galenabeam/galenabeam/internal/view"
)

// Limits of the HTTP server for callers.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// Options describe one entry host.
type Options struct {
	ID            host.ID
	Region        string
	FailureDomain string
	// HTTPAddress and RPCAddress are listen addresses, "IP:port". Port 0
	// takes a free one.
	HTTPAddress, RPCAddress string
	HostList                member.HostList
	// PeerTLS secures JSON-RPC; nil means plain text.
	PeerServerTLS, PeerClientTLS *tls.Config
	// ShutdownLimit bounds the graceful shutdown.
	ShutdownLimit time.Duration
	Log           *logrus.Logger
}

// Daemon is one entry host.
type Daemon struct {
	opts     Options
	self     host.Info
	log      *logrus.Entry
	metrics  metrics.Registry
	httpL    net.Listener
	rpcL     net.Listener
	peers    *rpc.Client
	backends *backend.Client
	slots    *owner.Slots
	edge     *edge.Edge
	control  *control.Control
	views    *view.Publisher
	http     *http.Server
	rpc      *rpc.Server
}

// New listens on the daemon's addresses and assembles it. Call Run next.
func New(o Options) (*Daemon, error) {
	httpL, err := net.Listen("tcp", o.HTTPAddress)
	if err != nil {
		return nil, trace.Wrap(err, "listening for callers on %s", o.HTTPAddress)
	}
	rpcL, err := net.Listen("tcp", o.RPCAddress)
	if err != nil {
		_ = httpL.Close()
		return nil, trace.Wrap(err, "listening for entry hosts on %s", o.RPCAddress)
	}
	d := &Daemon{opts: o, httpL: httpL, rpcL: rpcL, metrics: metrics.NewRegistry(), views: &view.Publisher{}}
	d.self = host.Info{ID: o.ID, Incarnation: host.NewIncarnation(time.Now()), Region: o.Region, FailureDomain: o.FailureDomain,
		RPCAddress: rpcL.Addr().String(), HTTPAddress: httpL.Addr().String()}
	d.log = o.Log.WithFields(logrus.Fields{"host": o.ID, "region": o.Region})
	d.assemble()
	return d, nil
}

func (d *Daemon) assemble() {
	d.peers = rpc.NewClient(d.opts.PeerClientTLS)
	d.backends = backend.NewClient()
	d.slots = owner.NewSlots(d.self.Incarnation, d.views, d.peers)
	d.edge = edge.New(edge.Config{Self: d.self, LookupTTL: edge.DefaultLookupTTL, IdentityWindow: edge.DefaultIdentityWindow,
		LedgerCapacity: edge.DefaultLedgerCapacity}, d.views, d.slots, d.backends, localRouter{region: d.self.Region}, d.peers, d.log, d.metrics)
	d.control = control.New(control.Options{Self: d.self, Views: d.views, Slots: d.slots, Peers: d.peers, HostList: d.opts.HostList,
		Log: d.log, Metrics: d.metrics, Seed: int64(d.self.Incarnation)})
	d.rpc = rpc.NewServer(d.opts.PeerServerTLS)
	d.handlePeers()
	d.http = &http.Server{Handler: d.edge.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// localRouter serves every request in this region.
type localRouter struct{ region string }

// Route implements edge.Router.
func (r localRouter) Route(*view.Snapshot, edge.RouteRequest) (string, *outcome.Outcome) {
	return r.region, nil
}

// Self describes this run of the daemon.
func (d *Daemon) Self() host.Info { return d.self }

// Control gives access to the control state.
func (d *Daemon) Control() *control.Control { return d.control }

// Run serves until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	controlCtx, stopControl := context.WithCancel(context.Background())
	g.Add(func() error { return d.control.Run(controlCtx) }, func(error) { stopControl() })
	g.Add(func() error { return d.rpc.Serve(d.rpcL) }, func(error) { _ = d.rpcL.Close(); d.rpc.Close() })
	g.Add(func() error { return ignoreClosed(d.http.Serve(d.httpL)) }, func(error) { _ = d.http.Close() })
	waitCtx, stopWait := context.WithCancel(context.Background())
	g.Add(func() error { return d.waitShutdown(ctx, waitCtx) }, func(error) { stopWait() })
	d.log.WithFields(logrus.Fields{"http": d.self.HTTPAddress, "rpc": d.self.RPCAddress, "incarnation": d.self.Incarnation}).Info("entry host started")
	err := g.Run()
	d.peers.Close()
	d.backends.Close()
	d.log.Info("entry host stopped")
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// waitShutdown waits for the end of ctx and then for the requests in progress.
func (d *Daemon) waitShutdown(ctx, stop context.Context) error {
	select {
	case <-ctx.Done():
	case <-stop.Done():
		return nil
	}
	idle := d.edge.Leave()
	limit := time.NewTimer(d.opts.ShutdownLimit)
	defer limit.Stop()
	select {
	case <-idle:
	case <-limit.C:
		d.log.WithField("active", d.edge.Active()).Warn("shutdown limit reached with requests in progress")
	case <-stop.Done():
	}
	return nil
}
