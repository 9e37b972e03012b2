package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/fake/backend"
	"github.com/galenabeam/galenabeam/internal/fake/hostlist"
	fakestore "github.com/galenabeam/galenabeam/internal/fake/store"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"
)

// headerTimeout bounds the time to read a request header of an httpServer.
const headerTimeout = 5 * time.Second

// standIns holds the stand-ins.
type standIns struct {
	log      *logrus.Logger
	store    *fakestore.Service
	hosts    *hostlist.List
	backends map[string]*backend.Server
	servers  []*httpServer
}

// httpServer serves the store, the host list or the faults.
type httpServer struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// newStandIns starts the backend servers and listens for the other stand-ins, which
// run serves.
func newStandIns(o options, log *logrus.Logger) (*standIns, error) {
	p := &standIns{log: log, store: fakestore.New(), hosts: hostlist.New(time.Now), backends: map[string]*backend.Server{}}
	if err := p.listen(o); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *standIns) listen(o options) error {
	if o.hosts != "" {
		hosts, err := loadHosts(o.hosts)
		if err != nil {
			return err
		}
		for _, h := range hosts {
			p.hosts.Put(h)
		}
	}
	for _, h := range o.hostFlags {
		p.hosts.Put(h)
	}
	if o.config != "" {
		if err := p.startBackends(o); err != nil {
			return err
		}
	}
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{{"store", o.store, p.store.Handler()}, {"host list", o.hostList, p.hosts}, {"faults", o.faults, p.faultsHandler()}} {
		if err := p.serveOn(s.name, s.address, s.handler); err != nil {
			return err
		}
	}
	return nil
}

// startBackends starts the backend servers of a configuration and lists them.
func (p *standIns) startBackends(o options) error {
	text, err := os.ReadFile(o.config)
	if err != nil {
		return trace.Wrap(err)
	}
	c, err := config.Parse(text)
	if err != nil {
		return trace.Wrap(err, "configuration %s", o.config)
	}
	serviceTimes := map[string]time.Duration{}
	for _, s := range c.Services {
		serviceTimes[s.Name] = s.ServiceTime
		if o.serviceTime > 0 {
			serviceTimes[s.Name] = o.serviceTime
		}
	}
	for _, b := range c.BackendServers {
		if err := checkLoopback(b.Address); err != nil {
			return trace.Wrap(err, "backend server %s", b.Name)
		}
		s, err := backend.StartAt(b.Name, b.Address, backend.Behavior{Slots: b.Slots, Shed: o.shed, ServiceTime: serviceTimes[b.Service]})
		if err != nil {
			return trace.Wrap(err, "backend server %s", b.Name)
		}
		p.backends[b.Name] = s
		p.hosts.Put(member.Listed{ID: host.ID(b.Name), Region: b.Region, FailureDomain: b.FailureDomain, HTTPAddress: b.Address,
			State: member.ListedLive, Kind: member.ListedBackendServer})
	}
	return nil
}

func (p *standIns) serveOn(name, address string, handler http.Handler) error {
	if err := checkLoopback(address); err != nil {
		return trace.Wrap(err, name)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err, name)
	}
	p.servers = append(p.servers, &httpServer{name, listener, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}})
	return nil
}

// run serves the stand-ins until ctx ends or one of them fails.
func (p *standIns) run(ctx context.Context) error {
	defer p.close()
	var g run.Group
	for _, s := range p.servers {
		g.Add(func() error { return s.server.Serve(s.listener) }, func(error) { _ = s.server.Close() })
		p.log.WithField("address", s.listener.Addr().String()).Info(s.name + " started")
	}
	ctx, stop := context.WithCancel(ctx)
	g.Add(func() error { <-ctx.Done(); return nil }, func(error) { stop() })
	p.log.WithFields(logrus.Fields{"backend_servers": len(p.backends)}).Info("stand-ins started")
	err := g.Run()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	p.log.Info("stand-ins stopped")
	return err
}

// close stops all servers and breaks their connections.
func (p *standIns) close() {
	for _, s := range p.servers {
		_ = s.server.Close()
		_ = s.listener.Close()
	}
	for _, b := range p.backends {
		b.Close()
	}
}

// checkLoopback returns an error for an address that other machines could reach.
func checkLoopback(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return trace.BadParameter("address %q: want IP:port", address)
	}
	if !a.Addr().IsLoopback() {
		return trace.BadParameter("address %q: want a loopback address", address)
	}
	return nil
}
