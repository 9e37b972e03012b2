// Command galenabeam-standin runs stand-ins on loopback addresses, to try out
// galenabeamd without -platform: the store, the host list and the backend servers of
// a configuration. With -platform, galenabeamd uses other protocols and cannot run on
// them. See README.md for the faults that can be set while it runs.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// options are the values of the command line flags.
type options struct {
	store, hostList, faults string // addresses
	config, hosts           string // paths of files
	hostFlags               hostFlags
	serviceTime             time.Duration
	shed                    bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stderr))
}

// execute runs the program until ctx ends and returns its exit code.
func execute(ctx context.Context, args []string, stderr io.Writer) int {
	o, err := parseFlags(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		return exitUsage
	}
	log := logrus.New()
	log.SetOutput(stderr)
	log.SetFormatter(&logrus.JSONFormatter{})
	p, err := newStandIns(o, log)
	if err != nil {
		fmt.Fprintln(stderr, "galenabeam-standin:", err)
		return exitFailed
	}
	if err := p.run(ctx); err != nil {
		fmt.Fprintln(stderr, "galenabeam-standin:", err)
		return exitFailed
	}
	return exitOK
}

func parseFlags(args []string, stderr io.Writer) (options, error) {
	var o options
	fs := flag.NewFlagSet("galenabeam-standin", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&o.store, "store", "127.0.0.1:2400", "loopback `IP:port` of the store")
	fs.StringVar(&o.hostList, "host-list", "127.0.0.1:2401", "loopback `IP:port` of the host list")
	fs.StringVar(&o.faults, "faults", "127.0.0.1:2402", "loopback `IP:port` at which faults are set")
	fs.StringVar(&o.config, "config", "", "configuration `FILE` whose backend servers to run; empty runs none")
	fs.StringVar(&o.hosts, "hosts", "", "INI `FILE` of the entry hosts to list")
	fs.Var(&o.hostFlags, "host", "an entry host to list, `ID,REGION,DOMAIN,RPC,HTTP`; may be repeated")
	fs.DurationVar(&o.serviceTime, "service-time", 0, "time that a backend server takes for a request; 0 takes the service's from the configuration")
	fs.BoolVar(&o.shed, "shed", true, "backend servers refuse requests beyond their slots")
	if err := fs.Parse(args); err != nil {
		return o, err
	}
	if fs.NArg() > 0 {
		fmt.Fprintf(stderr, "galenabeam-standin: unexpected argument %q\n", fs.Arg(0))
		return o, errors.New("unexpected argument")
	}
	return o, nil
}
