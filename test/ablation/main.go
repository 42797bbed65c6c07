// Ablation plays days of a site with one mechanism left out at a time, and prints
// what each is worth: the mean of the days with it less that without it, over the
// same seeds.
//
//	go run ./test/ablation --bench BENCH --site SITE.toml --days scale-1,trouble-1 --seeds 11,12
//
// It copies the committed sources to a scratch directory, so that its figures are
// trials; the bench's own entries of the plays are copied back into journal/.
package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

type arguments struct {
	Bench   string   `required:"" help:"The bench's program."`
	Site    string   `required:"" help:"The site file."`
	Days    []string `required:"" help:"Days to play."`
	Seeds   []int64  `default:"11,12" help:"Seeds of each day."`
	Without []string `help:"Mechanisms to leave out, one at a time; all by default."`
	Jobs    int      `default:"4" help:"Plays at a time."`
	Small   bool     `help:"Play the small twins of large days."`
}

// report is what is read of a play's report.
type report struct {
	Worth  float64        `json:"G"`
	Breaks map[string]any `json:"breaks"`
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Description("Plays days with one mechanism left out at a time."))
	if len(a.Without) == 0 {
		a.Without = mechanism.Names()
	}
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "ablation:", err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	all, err := play(a, "")
	if err != nil {
		return err
	}
	fmt.Printf("| left out | worth without | it is worth | spread | rules broken |\n| --- | --- | --- | --- | --- |\n")
	fmt.Printf("| nothing | %.4f | | | %d |\n", mean(worths(all)), broken(all))
	for _, name := range a.Without {
		without, err := play(a, name)
		if err != nil {
			return err
		}
		gains := make([]float64, len(all))
		for i := range all {
			gains[i] = all[i].Worth - without[i].Worth
		}
		fmt.Printf("| %s | %.4f | %+.4f | %.4f | %d |\n", name, mean(worths(without)), mean(gains), deviation(gains)/math.Sqrt(float64(len(gains))), broken(without))
	}
	return nil
}

// play plays each day with each seed and returns the reports in that order.
func play(a arguments, without string) ([]report, error) {
	folder, err := os.MkdirTemp("", "ablation")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	if err := prepare(folder, without); err != nil {
		return nil, err
	}
	if err := bench(a, folder, "build"); err != nil {
		return nil, err
	}
	reports := make([]report, len(a.Days)*len(a.Seeds))
	var plays errgroup.Group
	plays.SetLimit(a.Jobs)
	for d, day := range a.Days {
		for s, seed := range a.Seeds {
			to := &reports[d*len(a.Seeds)+s]
			plays.Go(func() error { return playOne(a, folder, without, day, seed, to) })
		}
	}
	if err := plays.Wait(); err != nil {
		return nil, err
	}
	return reports, exec.Command("cp", "-rn", filepath.Join(folder, "journal"), ".").Run()
}

// prepare copies the committed sources and leaves a mechanism out of their settings.
func prepare(folder, without string) error {
	if err := exec.Command("git", "clone", "--quiet", ".", folder).Run(); err != nil {
		return fmt.Errorf("clone: %w", err)
	}
	if without == "" {
		return nil
	}
	settings, err := os.OpenFile(filepath.Join(folder, "deploy", "settings.ini"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(settings, "\n[experiments]\nwithout = %s\n", without); err != nil {
		return err
	}
	return settings.Close()
}

func playOne(a arguments, folder, without, day string, seed int64, to *report) error {
	path := filepath.Join(folder, fmt.Sprintf("%s-%d.json", day, seed))
	why := "ablation: nothing left out"
	if without != "" {
		why = "ablation: " + without + " left out"
	}
	words := []string{"run", a.Site, day, "--seed", strconv.FormatInt(seed, 10), "--no-cpu", "--report", path, "--why", why}
	if a.Small {
		words = append(words, "--small")
	}
	if err := bench(a, folder, words...); err != nil {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, to)
}

func bench(a arguments, folder string, words ...string) error {
	command := exec.Command(a.Bench, words...)
	command.Dir = folder
	if output, err := command.CombinedOutput(); err != nil && words[0] == "build" {
		return fmt.Errorf("%s: %w: %s", strings.Join(words, " "), err, output)
	}
	// A day that breaks a rule ends with an error and has its report all the same.
	return nil
}

func worths(reports []report) []float64 {
	values := make([]float64, len(reports))
	for i, r := range reports {
		values[i] = r.Worth
	}
	return values
}

func broken(reports []report) (days int) {
	for _, r := range reports {
		if len(r.Breaks) > 0 {
			days++
		}
	}
	return days
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func deviation(values []float64) float64 {
	middle, sum := mean(values), 0.0
	for _, v := range values {
		sum += (v - middle) * (v - middle)
	}
	return math.Sqrt(sum / math.Max(float64(len(values)-1), 1))
}
