// Command review-cases-3 runs the cases of the third review. It starts entry hosts with the command
// of the deploy file, and stand-ins for the platform's store, backend servers and clients, all
// on loopback addresses. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime bounds the run of a case.
const maxTime = 100 * time.Second

// record is the file record.txt of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// trial is one run of a case.
type trial struct {
	*record
	*platform
	trouble bool
}

// cases returns whether the rule was broken.
var cases = map[string]func(*trial) (bool, error){
	"freeze-unframed": freezeUnframed,
	"cut-unframed":    cutUnframed,
	"answer-behind":   answerBehindLong,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases-3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(execute(os.Args[1], os.Args[2]))
}

func execute(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	t := &trial{record: &record{file: file, started: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	t.note("case %s, trouble: %v", name, t.trouble)
	if t.platform, err = newPlatform(); err != nil {
		t.note("could not run: %v", err)
		return exitFailed
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	time.AfterFunc(maxTime, func() { signals <- syscall.SIGTERM })
	go func() {
		<-signals
		t.note("could not run: interrupted")
		t.stop()
		os.Exit(exitFailed)
	}()
	broken, err := cases[name](t)
	t.stop()
	switch {
	case err != nil:
		// The text may name the temporary folder.
		t.note("could not run: %s", strings.ReplaceAll(err.Error(), t.dir, "TMP"))
		return exitFailed
	case broken:
		t.note("the rule was broken")
		return exitBroken
	}
	t.note("the rule held")
	return exitHeld
}
