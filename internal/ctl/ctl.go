// Package ctl is the operators' command line: it edits templates and
// parameters through the platform's service and asks routers for their state.
package ctl

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kong"

	"github.com/croftyard/croftyard/internal/command"
)

type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	State   state            `cmd:"" help:"Print a router's state dump."`
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	return command.Run(&commands{}, "croftyardctl", "Edits the fleet's templates and parameters and shows what it does.", args, out, errOut)
}

// adminTimeout bounds a call to a router's admin listener.
const adminTimeout = 10 * time.Second

type state struct {
	Instance string `required:"" placeholder:"HOST:PORT" help:"The router's admin address."`
}

// Run implements the command.
func (c *state) Run(out io.Writer) error {
	client := &http.Client{Timeout: adminTimeout}
	resp, err := client.Get("http://" + c.Instance + "/state")
	if err != nil {
		return fmt.Errorf("router %s: %w", c.Instance, err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(out, resp.Body)
	return err
}
