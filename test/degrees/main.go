// Degrees looks for the least degree of each trouble at which a site breaks a rule, and at which it
// serves a tenth less than on a calm day. Hunts vary the seeds and moments of troubles; a bound that
// gives way at twice the load is found by their degrees only.
//
//	go run ./test/degrees --bench BENCH --site SITE.toml --out FOLDER
//
// It plays days of its own, see deploy/days/degrees.toml, with degrees from 0 to 1 that are doubled
// until they do harm and then halved towards the least that does. It writes a table and, for each
// site, one HTML page with a plot. It copies the committed sources to a scratch folder, so that its
// figures are trials; the journal entries of the plays are copied back.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Bench    string        `required:"" help:"The bench's program."`
	Site     []string      `required:"" help:"Site files."`
	Troubles string        `default:"deploy/days/degrees.toml" help:"The file of troubles."`
	Only     []string      `help:"Names of troubles; all by default."`
	Pairs    bool          `help:"Also each pair of them."`
	Seeds    []int64       `default:"1" help:"Seeds of each degree."`
	Length   float64       `default:"20" help:"Length of a day, in seconds."`
	First    float64       `default:"0.125" help:"The degree to begin with."`
	Halvings int           `default:"2" help:"How often the gap is halved."`
	Jobs     int           `default:"0" help:"Plays at a time; 0: half of the processors."`
	Limit    time.Duration `default:"20m" help:"No play begins later."`
	Out      string        `default:"degrees" help:"Folder of the table and the plots."`
}

var errTooManyJobs = errors.New("plays may use half of the processors at most")

func main() {
	var a arguments
	kong.Parse(&a, kong.Description("Looks for the least degree of each trouble that does harm."))
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "degrees:", err)
		os.Exit(1)
	}
}

// prepare checks the arguments and returns the troubles, before anything is played.
func prepare(a arguments) ([]trouble, error) {
	if a.Jobs > max(runtime.NumCPU()/2, 1) {
		return nil, fmt.Errorf("--jobs %d: %w", a.Jobs, errTooManyJobs)
	}
	if _, err := exec.LookPath(a.Bench); err != nil {
		return nil, fmt.Errorf("--bench: %w", err)
	}
	troubles, err := readTroubles(a.Troubles, a.Only)
	if err != nil {
		return nil, err
	}
	for _, site := range a.Site {
		if _, err := os.Stat(site); err != nil {
			return nil, fmt.Errorf("--site: %w", err)
		}
		listed, err := exec.Command(a.Bench, "kinds", site).CombinedOutput()
		if err != nil {
			return nil, fmt.Errorf("--site %s: %w: %s", site, err, listed)
		}
		if err := checkKinds(troubles, string(listed)); err != nil {
			return nil, fmt.Errorf("%s: %w", name(site), err)
		}
	}
	if a.Pairs {
		single := slices.Clone(troubles)
		for i, t := range single {
			for _, other := range single[i+1:] {
				troubles = append(troubles, pair(t, other))
			}
		}
	}
	return troubles, nil
}

func run(a arguments) error {
	troubles, err := prepare(a)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "degrees")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	sources := filepath.Join(folder, "sources")
	if out, err := exec.Command("git", "clone", "--quiet", ".", sources).CombinedOutput(); err != nil {
		return fmt.Errorf("clone: %w: %s", err, out)
	}
	build := exec.Command(a.Bench, "build")
	build.Dir = sources
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	if err := os.MkdirAll(a.Out, 0o750); err != nil {
		return err
	}
	jobs := a.Jobs
	if jobs == 0 {
		jobs = max(runtime.NumCPU()/2, 1)
	}
	slots, progress := make(chan struct{}, jobs), &progress{begun: time.Now()}
	results := make([]*result, len(a.Site))
	var sites sync.WaitGroup
	for i, site := range a.Site {
		p := &player{arguments: a, site: absolute(site), folder: folder, end: time.Now().Add(a.Limit), slots: slots, progress: progress, points: make(map[string]map[float64]outcome)}
		sites.Go(func() { results[i] = p.search(troubles) })
	}
	sites.Wait()
	if err := exec.Command("cp", "-rn", filepath.Join(sources, "journal"), ".").Run(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return write(a.Out, results)
}

func absolute(path string) string {
	if whole, err := filepath.Abs(path); err == nil {
		return whole
	}
	return path
}

// loss is the drop in the served share that counts as harm.
const loss = 0.1

// result is what was found at one site.
type result struct {
	site     string
	calm     outcome
	troubles []trouble
	// breaks and drops are the least degrees that break a rule, and that serve less, by trouble.
	breaks, drops []finding
	points        map[string]map[float64]outcome
}

// search looks for the least degrees of all troubles.
func (p *player) search(troubles []trouble) *result {
	r := &result{site: p.site, troubles: troubles, breaks: make([]finding, len(troubles)), drops: make([]finding, len(troubles))}
	calm, played := p.play(trouble{Name: "calm"}, 0)
	r.calm = calm
	var searches sync.WaitGroup
	for i, t := range troubles {
		if !played {
			break
		}
		searches.Go(func() {
			s := search{first: p.First, halvings: p.Halvings, play: func(degree float64) (outcome, bool) { return p.play(t, degree) }}
			s.harm = func(o outcome) bool { return len(o.broken) > 0 }
			r.breaks[i] = s.run()
			s.harm = func(o outcome) bool { return o.served < calm.served-loss }
			r.drops[i] = s.run()
		})
	}
	searches.Wait()
	delete(p.points, "calm")
	r.points = p.points
	return r
}
