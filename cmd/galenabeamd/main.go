// Command galenabeamd is the daemon of an entry host.
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

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/daemon"
	"github.com/galenabeam/galenabeam/internal/logsink"
	"github.com/galenabeam/galenabeam/internal/settings"
	"github.com/galenabeam/galenabeam/platform"
)

// Exit codes. exitUsage is for wrong arguments and, with -platform, invalid settings;
// with -config those give exitFailed.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run parses the arguments, runs the daemon and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("galenabeamd", flag.ContinueOnError)
	fs.SetOutput(stderr)
	path := fs.String("config", "", "settings `FILE` of this process (INI)")
	onPlatform := fs.Bool("platform", false, "run on the platform, with the settings file that GALENABEAM_BOOT names")
	check := fs.Bool("check-config", false, "check the settings file, not the content of files that it names, and exit")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if *onPlatform && *path == "" && fs.NArg() == 0 {
		return runOnPlatform(*check, stdout, stderr)
	}
	if *path == "" || *onPlatform || fs.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: galenabeamd -config FILE [-check-config]\n       galenabeamd -platform [-check-config]")
		return exitUsage
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if *check {
		fmt.Fprintln(stdout, *path+": ok")
		return exitOK
	}
	if err := serve(s); err != nil {
		fmt.Fprintln(stderr, "galenabeamd:", err)
		return exitFailed
	}
	return exitOK
}

// runOnPlatform runs an entry host on the users' platform, or only checks its
// settings file, and returns the exit code.
func runOnPlatform(check bool, stdout, stderr io.Writer) int {
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(stderr, "galenabeamd:", err)
		return exitUsage
	}
	if check {
		fmt.Fprintln(stdout, "settings: ok")
		return exitOK
	}
	sink := logsink.New(stdout)
	defer sink.Close()
	if err := platform.Run(s, jsonLog(sink, s.Host), jsonLog(sink.Routine(), s.Host)); err != nil {
		fmt.Fprintln(stderr, "galenabeamd:", err)
		return exitFailed
	}
	return exitOK
}

// jsonLog returns a logger that writes one JSON object per line with the host's name.
func jsonLog(out io.Writer, host string) logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return log.WithField("host", host)
}

// serve runs an entry host without -platform until a component fails or SIGINT or
// SIGTERM starts a graceful shutdown. A second of these signals makes the shutdown
// cancel the requests in flight and wait for no role to be handed over. SIGHUP is not
// handled and ends the process at once, unlike with -platform.
func serve(s *settings.Settings) error {
	log := logrus.New()
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{})
	options, err := daemon.FromSettings(s, log)
	if err != nil {
		return err
	}
	force := make(chan struct{})
	options.Force = force
	d, err := daemon.New(options)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGUSR1)
	defer signal.Stop(signals)
	go handleSignals(signals, d, cancel, force)
	return d.Run(ctx)
}

// handleSignals calls stop at the first SIGINT or SIGTERM and closes force at the
// second. Until then SIGUSR1 writes a state dump to stdout.
func handleSignals(signals <-chan os.Signal, d *daemon.Daemon, stop func(), force chan<- struct{}) {
	stopping := false
	for s := range signals {
		switch {
		case s == syscall.SIGUSR1:
			if err := d.WriteDump(os.Stdout); err != nil {
				logrus.WithError(err).Warn("failed to write the state dump")
			}
		case !stopping:
			stopping = true
			stop()
		default:
			close(force)
			return
		}
	}
}
