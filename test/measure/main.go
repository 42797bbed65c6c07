// Command measure drives the product's placement and admission packages with a
// seeded workload on a stepped clock, beside simpler policies, and prints a
// table. It is a measurement, not a simulator of a cluster: engines are a
// prefix cache and a count of requests, reports are figures that are old.
//
// What is modelled: returning chats (85 in 100 requests), shared prefixes, an
// organisation that surges 8 times, engines that join, leave, restart and flap,
// routers that see a change of the fleet up to 3 s late and loads up to 2 s late.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"
)

type options struct {
	Full   bool      `help:"Also measure 1,520 engines and 136 routers."`
	JSON   bool      `help:"Print one JSON object a line instead of a table."`
	Seeds  int       `default:"5" help:"Seeds to run, 1 to N."`
	Policy []string  `help:"Only these policies. croftyard-nowait and croftyard-nohandover leave one part out."`
	Bound  []float64 `default:"1.15" help:"The bounds c that croftyard runs with."`
	Size   []string  `default:"40/9,400/36" help:"ENGINES/ROUTERS."`
	Fair   bool      `help:"Measure fair shares instead of placement."`
}

// result is one run's figures.
type result struct {
	Policy   string  `json:"policy"`
	Bound    float64 `json:"bound,omitempty"`
	Engines  int     `json:"engines"`
	Routers  int     `json:"routers"`
	Seed     uint64  `json:"seed"`
	Reuse    float64 `json:"reuse"`
	SkewP50  float64 `json:"skew_p50"`
	SkewP99  float64 `json:"skew_p99"`
	Control  float64 `json:"control_bytes_per_s"`
	Diverted float64 `json:"diverted"`
	Refused  float64 `json:"refused"`
	PassedOn float64 `json:"passed_on"`
	// WaitedP99 is the time in queues, FirstP50 and FirstP95 the time to the
	// first token: queue and computing the prompt.
	WaitedP99 float64 `json:"waited_p99_ms"`
	FirstP50  float64 `json:"first_token_p50_ms"`
	FirstP95  float64 `json:"first_token_p95_ms"`
	Requests  int     `json:"requests"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measures placement policies side by side."))
	if o.Fair {
		printFair(o.Seeds)
		return
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.Full {
		o.Size = append(o.Size, "1520/136")
	}
	var specs []spec
	for _, size := range o.Size {
		var engines, routers int
		if _, err := fmt.Sscanf(size, "%d/%d", &engines, &routers); err != nil || engines < 1 || routers < 1 {
			return fmt.Errorf("size %q: must be ENGINES/ROUTERS, such as 40/9", size)
		}
		for _, policy := range policies(o) {
			for seed := range o.Seeds {
				specs = append(specs, spec{policy: policy.name, bound: policy.bound, engines: engines, routers: routers, seed: uint64(seed + 1)})
			}
		}
	}
	results := make([]result, len(specs))
	var work errgroup.Group
	// Below the machine's 8 cores, and each large run takes a few 100 MB.
	const parallel = 5
	work.SetLimit(parallel)
	for i, s := range specs {
		work.Go(func() error {
			results[i] = measure(s)
			return nil
		})
	}
	if err := work.Wait(); err != nil {
		return err
	}
	return print(o.JSON, results)
}

// variant is a policy with its bound.
type variant struct {
	name  string
	bound float64
}

func policies(o options) []variant {
	names := o.Policy
	if len(names) == 0 {
		names = []string{"random", "least", "rendezvous", "bounded", product}
	}
	var list []variant
	for _, name := range names {
		if !strings.HasPrefix(name, product) {
			list = append(list, variant{name: name, bound: defaultBound})
			continue
		}
		for _, bound := range o.Bound {
			list = append(list, variant{name: name, bound: bound})
		}
	}
	return list
}

func print(asJSON bool, results []result) error {
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		for _, r := range results {
			if err := encoder.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tc\tengines/routers\tseed\treuse\tskew p50\tskew p99\tcontrol B/s\tdiverted\tpassed on\trefused\twaited p99\tfirst p50\tfirst p95 ms\trequests\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%.2f\t%d/%d\t%d\t%.3f\t%.2f\t%.2f\t%.0f\t%.3f\t%.3f\t%.4f\t%.0f\t%.0f\t%.0f\t%d\t\n",
			r.Policy, r.Bound, r.Engines, r.Routers, r.Seed, r.Reuse, r.SkewP50, r.SkewP99,
			r.Control, r.Diverted, r.PassedOn, r.Refused, r.WaitedP99, r.FirstP50, r.FirstP95, r.Requests)
	}
	return w.Flush()
}
