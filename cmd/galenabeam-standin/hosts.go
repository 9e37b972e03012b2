package main

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"
)

// hostFlags holds the hosts of all -host flags.
type hostFlags []member.Listed

// String implements flag.Value.
func (f *hostFlags) String() string { return fmt.Sprint(len(*f), " hosts") }

// Set implements flag.Value.
func (f *hostFlags) Set(text string) error {
	fields := strings.Split(text, ",")
	if len(fields) != 5 {
		return fmt.Errorf("%q has %d fields; want ID,REGION,DOMAIN,RPC,HTTP", text, len(fields))
	}
	h := member.Listed{ID: host.ID(fields[0]), Region: fields[1], FailureDomain: fields[2], RPCAddress: fields[3],
		HTTPAddress: fields[4], State: member.ListedLive}
	if err := checkHost(h); err != nil {
		return err
	}
	*f = append(*f, h)
	return nil
}

// hostPrefix is the start of the name of a host's section.
const hostPrefix = "host "

// hostKeys are the keys of a host's section. All are required.
var hostKeys = []string{"region", "failure-domain", "rpc", "http"}

// loadHosts reads an INI file with one section [host ID] for each entry host.
func loadHosts(path string) ([]member.Listed, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, trace.Wrap(err, "hosts file %s", path)
	}
	var hosts []member.Listed
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		h, err := parseHost(s)
		if err != nil {
			return nil, trace.Wrap(err, "hosts file %s: [%s]", path, s.Name())
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// parseHost returns the entry host that a section describes.
func parseHost(s *ini.Section) (member.Listed, error) {
	id, ok := strings.CutPrefix(s.Name(), hostPrefix)
	if !ok {
		return member.Listed{}, trace.BadParameter("unknown section; want [host ID]")
	}
	for _, key := range hostKeys {
		if !s.HasKey(key) {
			return member.Listed{}, trace.BadParameter("key %s is missing", key)
		}
	}
	if len(s.Keys()) != len(hostKeys) {
		return member.Listed{}, trace.BadParameter("unknown key; want %s", strings.Join(hostKeys, ", "))
	}
	h := member.Listed{ID: host.ID(strings.TrimSpace(id)), Region: s.Key("region").String(), FailureDomain: s.Key("failure-domain").String(),
		RPCAddress: s.Key("rpc").String(), HTTPAddress: s.Key("http").String(), State: member.ListedLive}
	return h, checkHost(h)
}

// checkHost checks names and state, and that addresses are loopback addresses. A host
// without an ID or a region would make entry hosts reject the whole list.
func checkHost(h member.Listed) error {
	for _, n := range []struct{ field, name string }{{"id", string(h.ID)}, {"region", h.Region}, {"failure domain", h.FailureDomain}} {
		if !config.ValidName(n.name) {
			return trace.BadParameter("host %q: %s %q: want 1 to 63 characters of a-z, 0-9 and -", h.ID, n.field, n.name)
		}
	}
	addresses := []string{h.HTTPAddress}
	if h.Kind != member.ListedBackendServer {
		addresses = append(addresses, h.RPCAddress)
	}
	for _, address := range addresses {
		if err := checkLoopback(address); err != nil {
			return trace.Wrap(err, "host %q", h.ID)
		}
	}
	if h.State != member.ListedLive && h.State != member.ListedLeaving {
		return trace.BadParameter("host %q: state %q: want live or leaving", h.ID, h.State)
	}
	return nil
}
