package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/croftyard/croftyard/internal/entry"
)

type rolloutCommand struct {
	output
	Instance string `required:"" placeholder:"HOST:PORT" help:"The router's admin address."`
}

// Run implements the command.
func (c *rolloutCommand) Run(out io.Writer) error {
	body, err := ask(http.MethodGet, c.Instance, "/state")
	if err != nil {
		return err
	}
	var s entry.State
	if err := json.Unmarshal(body, &s); err != nil {
		return fmt.Errorf("router %s: %w", c.Instance, err)
	}
	return c.print(out, s.Rollouts, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tVERSION\tPHASE\tSHARE\tWRITTEN\tFAILED\tFAILED BEFORE\tREASON")
		for _, r := range s.Rollouts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%.0f%%\t%s\t%d of %d\t%d of %d\t%s\n", r.Service, r.Version, r.Phase, 100*r.Share, r.Written,
				r.Failures, r.Answers, r.OldFailures, r.OldAnswers, r.Reason)
		}
	})
}
