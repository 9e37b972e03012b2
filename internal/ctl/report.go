package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/galenabeam/galenabeam/internal/ctl/report"
)

// maxResultBytes bounds a file of results.
const maxResultBytes = 64 << 20

func prepareReport(i *invocation) action {
	out := i.flags.String("o", "", "`FILE` to write; by default standard output")
	title := i.flags.String("title", "galenabeam: before and after", "`TEXT` of the page's title")
	return func(context.Context) error {
		if err := i.requireArgs("BEFORE", "AFTER"); err != nil {
			return err
		}
		before, err := i.readResult(i.args[0])
		if err != nil {
			return err
		}
		after, err := i.readResult(i.args[1])
		if err != nil {
			return err
		}
		var page bytes.Buffer
		names := [2]string{filepath.Base(i.args[0]), filepath.Base(i.args[1])}
		if err := report.Write(&page, report.Page{Title: *title, Names: names, Before: before, After: after}); err != nil {
			return err
		}
		if *out == "" {
			_, err = page.WriteTo(i.Stdout)
			return err
		}
		return os.WriteFile(*out, page.Bytes(), 0o644)
	}
}

func (i *invocation) readResult(path string) (*report.Result, error) {
	text, err := i.readInput(path, maxResultBytes)
	if err != nil {
		return nil, err
	}
	result, err := report.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return result, nil
}
