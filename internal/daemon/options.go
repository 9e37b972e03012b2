package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/adapter/hostlist"
	"github.com/galenabeam/galenabeam/internal/adapter/rpc"
	"github.com/galenabeam/galenabeam/internal/adapter/storehttp"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"
	"github.com/galenabeam/galenabeam/internal/settings"
	"github.com/galenabeam/galenabeam/internal/store"
	"github.com/galenabeam/galenabeam/internal/tlsconf"
)

// Options configures one entry host.
type Options struct {
	ID            host.ID
	Region        string
	FailureDomain string
	// HTTPAddress and RPCAddress are listen addresses, "IP:port". Port 0 takes a free
	// one.
	HTTPAddress, RPCAddress string
	// AdvertiseHTTP and AdvertiseRPC are the addresses published to callers and other
	// entry hosts; empty means the listener's own.
	AdvertiseHTTP, AdvertiseRPC string
	HostList                    member.HostList
	Store                       store.Store
	// PeerServerTLS and PeerDial secure JSON-RPC; nil means plain text.
	PeerServerTLS *tls.Config
	PeerDial      rpc.DialFunc
	// AdminAddress is the listen address of the administration API; empty
	// means none. AdminTLS secures it; nil means plain text.
	AdminAddress string
	AdminTLS     *tls.Config
	Tokens       []settings.Token
	// TLSSources are the certificates that the daemon reloads while it runs.
	TLSSources []*tlsconf.Source
	// HeaderTimeout and MaxHeaderBytes bound the header of a caller's request.
	// Zero means the defaults of package settings.
	HeaderTimeout  time.Duration
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a caller's request. Zero means the default
	// of package settings.
	MaxBodyBytes int64
	// ShutdownLimit is the time after which a graceful shutdown cancels the requests
	// in flight and no longer waits for the hand-over of the lease role and the pools.
	// Zero means at once.
	ShutdownLimit time.Duration
	// Force, when closed, makes a graceful shutdown act as at its limit. It may be nil.
	Force <-chan struct{}
	// Log must be set.
	Log *logrus.Logger
	// Metrics collects the daemon's metrics; nil means a registry of its own.
	Metrics metrics.Registry
}

// hostListTimeout bounds a call to the external host list.
const hostListTimeout = 2 * time.Second

// FromSettings builds the options from settings, with the tokens and certificates of
// the files that they name.
func FromSettings(s *settings.Settings, log *logrus.Logger) (Options, error) {
	st, err := storehttp.New(storehttp.Config{URL: s.StoreURL, Client: string(s.Host)})
	if err != nil {
		return Options{}, trace.Wrap(err)
	}
	registry := metrics.NewRegistry()
	o := Options{
		ID: s.Host, Region: s.Region, FailureDomain: s.FailureDomain,
		HTTPAddress: s.HTTP.Listen, RPCAddress: s.RPC.Listen, AdvertiseHTTP: s.HTTP.Advertise, AdvertiseRPC: s.RPC.Advertise,
		HostList: hostlist.New(s.HostListURL, &http.Client{Timeout: hostListTimeout}, registry),
		Store:    st, Metrics: registry, HeaderTimeout: s.HeaderTimeout, MaxHeaderBytes: s.MaxHeaderBytes, MaxBodyBytes: s.MaxBodyBytes, ShutdownLimit: s.ShutdownLimit, Log: log,
	}
	o.AdminAddress = s.Admin.Listen
	if o.Tokens, err = settings.LoadTokens(s.TokensFile); err != nil {
		return Options{}, trace.Wrap(err)
	}
	if s.AdminTLS.Enabled() {
		src, err := o.addTLSSource(tlsconf.Files{Certificate: s.AdminTLS.Certificate, Key: s.AdminTLS.Key, CA: s.AdminTLS.CA})
		if err != nil {
			return Options{}, trace.Wrap(err, "failed to load the certificates of the administration API")
		}
		o.AdminTLS = src.ServerConfig()
	}
	if s.PeerTLS.Enabled() {
		src, err := o.addTLSSource(tlsconf.Files{Certificate: s.PeerTLS.Certificate, Key: s.PeerTLS.Key, CA: s.PeerTLS.CA, SameCA: true})
		if err != nil {
			return Options{}, trace.Wrap(err, "failed to load the certificates for connections between entry hosts")
		}
		o.PeerServerTLS, o.PeerDial = src.ServerConfig(), src.Dial
	}
	return o, nil
}

func (o *Options) addTLSSource(f tlsconf.Files) (*tlsconf.Source, error) {
	src, err := tlsconf.New(f, time.Now)
	if err == nil {
		o.TLSSources = append(o.TLSSources, src)
	}
	return src, err
}

// advertisedAddress returns the address to publish: the configured one, or else
// the listener's.
func advertisedAddress(configured string, l net.Listener) string {
	if configured != "" {
		return configured
	}
	return l.Addr().String()
}
