// Command tsehay prints the configuration of the operator Tsehay as INI text.
package main

import (
	"fmt"
	"os"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/examples/deployments"
)

func main() {
	c := deployments.Tsehay()
	if err := config.Check(c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if err := config.Print(os.Stdout, c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
