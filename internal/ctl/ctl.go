// Package ctl is the operators' command line: it edits templates and
// parameters through the platform's service and asks routers for their state.
//
//	config.go  validate, diff, apply, history, rollback
//	fleet.go   status, state, explain, drain
//	rollout.go rollout
//	key.go     key new
//	why.go     why
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"github.com/croftyard/croftyard/internal/command"
	"github.com/croftyard/croftyard/internal/kvservice"
	"github.com/croftyard/croftyard/pkg/policy"
)

// Exit codes beside those of the daemon.
const (
	// ExitConflict: another edit changed the same segment.
	ExitConflict = 3
	// ExitUnknown: the edit may or may not be in force.
	ExitUnknown = 4
	// ExitUnavailable: nothing was changed; the platform or a router could not be asked.
	ExitUnavailable = 5
)

type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Validate validate       `cmd:"" help:"Check a configuration file. Example: croftyardctl validate fleet.ini"`
	Diff     diff           `cmd:"" help:"Show what a file would change. Example: croftyardctl diff fleet.ini"`
	Apply    apply          `cmd:"" help:"Bring a file's segments into force. Example: croftyardctl apply fleet.ini --note 'larger share'"`
	History  history        `cmd:"" help:"List the last edits."`
	Rollback rollback       `cmd:"" help:"Bring the content of an earlier version into force, as a new version."`
	Status   status         `cmd:"" help:"Show the version in force on routers, and wait for one. Example: croftyardctl status --instance 127.0.0.1:8082 --wait 5s"`
	State    state          `cmd:"" help:"Print a router's state dump."`
	Explain  explain        `cmd:"" help:"Tell where a request would go, and why. Example: croftyardctl explain --instance 127.0.0.1:8082 --group agents --model drafting"`
	Rollout  rolloutCommand `cmd:"" help:"Show the roll-outs of versions that a router knows, and by which evidence they go on or end."`
	Key      key            `cmd:"" help:"Make keys."`
	Drain    drain          `cmd:"" help:"Begin the planned stop of a router."`
	Why      whyCommand     `cmd:"" help:"Tell the story of one request from the routers' logs. Example: croftyardctl why 9c41d07be2a35f68 router-*.log"`
}

// Main runs the command line and returns the exit code: 0 done, 1 failed, 2
// wrong use or file, 3 conflict, 4 unknown outcome, 5 unavailable.
func Main(args []string, out, errOut io.Writer) int {
	return command.Run(&commands{}, "croftyardctl", "Edits the fleet's templates and parameters and shows what it does.", args, out, errOut)
}

// service says where the platform is.
type service struct {
	Platform string        `default:"http://127.0.0.1:8090" env:"CROFTYARD_PLATFORM" help:"URL of the platform."`
	Timeout  time.Duration `default:"5s" help:"Longest wait for the platform."`
}

// calls an operator's command may make a second; rate limits are the service's.
const callRate = 50

func (s service) open() (*kvservice.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	return kvservice.NewClient(s.Platform, s.Timeout, callRate), ctx, cancel
}

// output says how a command prints.
type output struct {
	Output string `default:"table" enum:"table,json" help:"Form of the output."`
}

// print writes v as JSON, or a table by rows.
func (o output) print(out io.Writer, v any, rows func(w io.Writer)) error {
	if o.Output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

// withCode gives an error of the policy package its exit code.
func withCode(err error) error {
	code := command.ExitFailed
	switch {
	case err == nil:
		return nil
	case errors.Is(err, policy.ErrInvalid), errors.Is(err, policy.ErrVersionUnknown):
		code = command.ExitUsage
	case errors.Is(err, policy.ErrConflict):
		code = ExitConflict
	case errors.Is(err, policy.ErrOutcomeUnknown):
		code = ExitUnknown
	case errors.Is(err, policy.ErrUnavailable):
		code = ExitUnavailable
	}
	return command.WithCode(err, code)
}

func readSegments(path string) ([]policy.Segment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, command.WithCode(err, command.ExitUsage)
	}
	segments, err := policy.Split(path, text)
	if err != nil {
		return nil, command.WithCode(err, command.ExitUsage)
	}
	return segments, nil
}

// adminTimeout bounds a call to a router's admin listener.
const adminTimeout = 10 * time.Second

// ask gets a path of a router's admin listener.
func ask(method, instance, path string) ([]byte, error) {
	client := &http.Client{Timeout: adminTimeout}
	req, err := http.NewRequest(method, "http://"+instance+path, nil)
	if err != nil {
		return nil, command.WithCode(fmt.Errorf("router %s: %w", instance, err), command.ExitUsage)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, command.WithCode(fmt.Errorf("router %s: %w", instance, err), ExitUnavailable)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, command.WithCode(fmt.Errorf("router %s: %w", instance, err), ExitUnavailable)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, fmt.Errorf("router %s: %s", instance, body)
	}
	return body, nil
}
