package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/croftyard/croftyard/internal/command"
	"github.com/croftyard/croftyard/internal/router/report"
)

type state struct {
	Instance string `required:"" placeholder:"HOST:PORT" help:"The router's admin address."`
}

// Run implements the command.
func (c *state) Run(out io.Writer) error {
	body, err := ask(http.MethodGet, c.Instance, "/state")
	if err != nil {
		return err
	}
	_, err = out.Write(body)
	return err
}

type status struct {
	service
	output
	Instance []string      `required:"" placeholder:"HOST:PORT" help:"The routers' admin addresses."`
	Wait     time.Duration `help:"Wait this long until the version in force is on all of them."`
}

// routerStatus is one router's row.
type routerStatus struct {
	Instance string `json:"instance"`
	Name     string `json:"name,omitempty"`
	Ready    bool   `json:"ready"`
	Version  uint64 `json:"version"`
	Active   int64  `json:"active_requests"`
	Error    string `json:"error,omitempty"`
}

// fleetStatus is what status prints.
type fleetStatus struct {
	Version uint64         `json:"version"`
	Waited  float64        `json:"waited_seconds"`
	Routers []routerStatus `json:"routers"`
}

// Run implements the command. It fails if a router lacks the version in force.
func (c *status) Run(out io.Writer) error {
	client, ctx, cancel := c.open()
	defer cancel()
	head, err := readHead(ctx, client)
	if err != nil {
		return err
	}
	began := time.Now()
	result, all := c.look(head.Version)
	for !all && time.Since(began) < c.Wait {
		const pause = 50 * time.Millisecond
		time.Sleep(pause)
		result, all = c.look(head.Version)
	}
	result.Waited = time.Since(began).Seconds()
	err = c.print(out, result, func(w io.Writer) {
		fmt.Fprintln(w, "INSTANCE\tNAME\tREADY\tVERSION\tACTIVE\tERROR")
		for _, r := range result.Routers {
			fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%s\n", r.Instance, r.Name, r.Ready, r.Version, r.Active, r.Error)
		}
		fmt.Fprintf(w, "in force: version %d\n", head.Version)
	})
	if err == nil && !all {
		return command.WithCode(fmt.Errorf("version %d is not on every router", head.Version), command.ExitFailed)
	}
	return err
}

func (c *status) look(version uint64) (result fleetStatus, all bool) {
	result.Version = version
	all = true
	for _, instance := range c.Instance {
		row := routerStatus{Instance: instance}
		s, err := askState(instance)
		if err != nil {
			row.Error = err.Error()
		}
		row.Name, row.Ready, row.Version, row.Active = s.Name, s.Ready, s.ConfigVersion, s.Active
		all = all && s.ConfigVersion >= version
		result.Routers = append(result.Routers, row)
	}
	return result, all
}

func askState(instance string) (report.State, error) {
	var s report.State
	body, err := ask(http.MethodGet, instance, "/state")
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(body, &s)
}

type explain struct {
	output
	Instance string `required:"" placeholder:"HOST:PORT" help:"The router's admin address."`
	Group    string `required:"" help:"The research group."`
	Model    string `required:"" help:"The model."`
	Token    string `help:"The chat token of the request."`
}

// Run implements the command.
func (c *explain) Run(out io.Writer) error {
	query := url.Values{"group": {c.Group}, "model": {c.Model}, "token": {c.Token}}
	body, err := ask(http.MethodGet, c.Instance, "/explain?"+query.Encode())
	if err != nil {
		return err
	}
	var e report.Explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return fmt.Errorf("router %s: %w", c.Instance, err)
	}
	return c.print(out, e, func(w io.Writer) { printExplanation(w, e) })
}

func printExplanation(w io.Writer, e report.Explanation) {
	if e.Refusal != "" {
		fmt.Fprintf(w, "refused: %s\n", e.Refusal)
		return
	}
	fmt.Fprintf(w, "pool %s, token %s, placed by %s\n", e.Pool, e.Token, e.Origin)
	fmt.Fprintf(w, "mean load %.2f, bound %.2f, target %.2f, diverted with chance %.2f\n", e.Mean, e.Bound, e.Target, e.Diverted)
	fmt.Fprintln(w, "CHOSEN\tOWNER\tLOAD\tENGINES")
	for _, c := range e.Candidates {
		mark := ""
		if c.Chosen {
			mark = "*"
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%v\n", mark, c.Owner, c.Load, c.Engines)
	}
}

type drain struct {
	Instance string `required:"" placeholder:"HOST:PORT" help:"The router's admin address."`
}

// Run implements the command. It waits until the router has ended.
func (c *drain) Run(out io.Writer) error {
	if _, err := ask(http.MethodPost, c.Instance, "/drain"); err != nil {
		return err
	}
	for {
		s, err := askState(c.Instance)
		if err != nil {
			fmt.Fprintln(out, "the router has ended")
			return nil
		}
		fmt.Fprintf(out, "%d requests in flight\n", s.Active)
		time.Sleep(time.Second)
	}
}
