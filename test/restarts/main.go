// Restarts ends real routers at the worst moment of what they keep in memory only, lets them
// return, and checks what callers and replicas see.
//
//	go run ./restarts --help          from the folder test
//	go run ./restarts --program PATH  another build
//
// Each case is an own fleet of `croftyard serve` processes before a stand-in of the users'
// platform. Without --cross, a case differs from the plainest one of its row in at most one of
// the ways of ending, the store, the absence and the size. It writes a table and one HTML page
// with a plot.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Program  string          `help:"The router's program; it is built from this checkout by default."`
	Next     string          `help:"The program that routers return with, if it is another one."`
	Rows     []string        `help:"Rows: ${rows}; all by default."`
	Changes  []string        `help:"What changes around the end, as the table names it; all by default."`
	Ends     []string        `help:"Ways of ending: ${ends}."`
	Stores   []string        `help:"States of the store at the return: ${stores}."`
	Absences []time.Duration `help:"Absences." default:"100ms,1s,12s"`
	Sizes    []int           `help:"Numbers of routers." default:"3,9"`
	Seeds    []uint64        `help:"Seeds." default:"1"`
	Cross    bool            `help:"All combinations."`
	Shuffle  bool            `help:"Play the cases in an order by the first seed: a time limit then cuts a fair part."`
	Jobs     int             `help:"Cases at a time; 0: half of the processors."`
	Limit    time.Duration   `help:"No case begins later." default:"20m"`
	Logs     string          `help:"Folder of the routers' logs of cases that break; none are kept by default."`
	Out      string          `help:"Folder of the table and the plot." default:"restarts"`
}

var errUnknown = errors.New("no such value")

func main() {
	var a arguments
	kong.Parse(&a, kong.Description("Ends routers at the worst moment and checks what callers and replicas see afterwards."),
		kong.Vars{"rows": list(rowNames()), "ends": list(ends), "stores": list(stores)})
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "restarts:", err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	cases, err := a.cases()
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "restarts")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if a.Program == "" {
		a.Program = filepath.Join(folder, "croftyard")
		if err := build(a.Program); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(a.Out, 0o750); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return write(a.Out, a.playAll(ctx, cases, folder))
}

// playAll plays cases until the time limit or an interrupt and returns those that were played, in
// order. What is under way comes to its end.
func (a arguments) playAll(ctx context.Context, cases []scenario, folder string) []result {
	jobs := a.Jobs
	if jobs == 0 {
		jobs = max(runtime.NumCPU()/2, 1)
	}
	begun, slots := time.Now(), make(chan struct{}, jobs)
	results := make([]*result, len(cases))
	var mu sync.Mutex
	var all sync.WaitGroup
	played := 0
	for i, s := range cases {
		slots <- struct{}{}
		if ctx.Err() != nil || time.Since(begun) > a.Limit {
			break
		}
		all.Go(func() {
			defer func() { <-slots }()
			r := result{scenario: s}
			r.outcome, r.err = s.play(programs{a.Program, cmp.Or(a.Next, a.Program)}, filepath.Join(folder, fmt.Sprint("case", i)), a.Logs)
			mu.Lock()
			defer mu.Unlock()
			played++
			results[i] = &r
			fmt.Fprintf(os.Stderr, "%4d of %d cases, %4.0f s  %s: %s\n", played, len(cases), time.Since(begun).Seconds(), s, r.summary())
		})
	}
	all.Wait()
	var done []result
	for _, r := range results {
		if r != nil {
			done = append(done, *r)
		}
	}
	return done
}
