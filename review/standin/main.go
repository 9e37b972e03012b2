// Command review-cases runs one case of the review: it starts stand-ins in this process
// and entry hosts as processes of their own, and judges what clients and servers saw.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE FOLDER, from the root of the repository")
		os.Exit(exitNotRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "review-cases: no case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	broken, err := run(os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "review-cases:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(folder string, trouble bool) (broken bool, err error){
	"descriptors": runDescriptors,
	"oddentry":    runOddEntry,
	"encodedpath": runEncodedPath,
	"recovery":    runRecovery,
}
