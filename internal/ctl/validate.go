package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/galenabeam/galenabeam/config"
)

// readConfig reads and checks a configuration file.
func (i *invocation) readConfig(path string) ([]byte, *config.Config, error) {
	text, err := i.readInput(path, config.MaxTextBytes)
	if err != nil {
		return nil, nil, err
	}
	c, err := config.Parse(text)
	if err == nil {
		err = config.Check(c)
	}
	var problems *config.Problems
	if errors.As(err, &problems) {
		return nil, nil, fmt.Errorf("%s: invalid configuration:\n%w", path, problems)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return text, c, nil
}

// validation is the result of validate as JSON.
type validation struct {
	Valid  bool `json:"valid"`
	Remote bool `json:"remote"`
}

func prepareValidate(i *invocation) action {
	remote := i.flags.Bool("remote", false, "have the deployment check the file as well")
	conn := i.defineConnectionFlags()
	return func(ctx context.Context) error {
		if err := i.requireArgs("FILE"); err != nil {
			return err
		}
		text, _, err := i.readConfig(i.args[0])
		if err != nil {
			return err
		}
		if *remote {
			if err := validateRemotely(ctx, conn, text); err != nil {
				return err
			}
		}
		if i.asJSON {
			return i.printJSON(validation{Valid: true, Remote: *remote})
		}
		_, err = fmt.Fprintln(i.Stdout, printable(i.args[0])+": ok")
		return err
	}
}

func validateRemotely(ctx context.Context, conn *connectionFlags, text []byte) error {
	client, err := conn.newClient()
	if err != nil {
		return err
	}
	defer client.close()
	_, err = client.send(ctx, request{method: http.MethodPost, path: "/v1/config/validate", body: text})
	return err
}
