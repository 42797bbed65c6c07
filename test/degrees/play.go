package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"
)

// player plays degrees of troubles at one site, each once.
type player struct {
	arguments
	site string
	// folder holds the sources that are played, and the days and reports.
	folder string
	end    time.Time
	// slots bounds the plays at a time, over all sites.
	slots    chan struct{}
	progress *progress

	mu     sync.Mutex
	number int
	// points are the outcomes by trouble and degree.
	points map[string]map[float64]outcome
}

// progress prints each play and how many were made.
type progress struct {
	mu    sync.Mutex
	plays int
	begun time.Time
}

func (p *progress) played(site, trouble string, degree float64, o outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plays++
	fmt.Fprintf(os.Stderr, "%4d plays, %4.0f s  %s, %s at %.3g: served %.3f %v\n", p.plays, time.Since(p.begun).Seconds(), name(site), trouble, degree, o.served, o.broken)
}

// play returns the outcome of a degree, or false if there is no time left.
func (p *player) play(t trouble, degree float64) (outcome, bool) {
	p.mu.Lock()
	o, known := p.points[t.Name][degree]
	p.mu.Unlock()
	if known {
		return o, true
	}
	o.served = 1
	for _, seed := range p.Seeds {
		p.slots <- struct{}{}
		one, err := p.playSeed(t, degree, seed)
		<-p.slots
		if err != nil {
			return outcome{}, false
		}
		o.served = min(o.served, one.served)
		o.broken = append(o.broken, one.broken...)
	}
	slices.Sort(o.broken)
	o.broken = slices.Compact(o.broken)
	p.mu.Lock()
	if p.points[t.Name] == nil {
		p.points[t.Name] = make(map[float64]outcome)
	}
	p.points[t.Name][degree] = o
	p.mu.Unlock()
	p.progress.played(p.site, t.Name, degree, o)
	return o, true
}

// report is what is read of a play's report.
type report struct {
	Served float64        `json:"served"`
	Breaks map[string]any `json:"breaks"`
}

func (p *player) playSeed(t trouble, degree float64, seed int64) (outcome, error) {
	left := time.Until(p.end)
	if left <= 0 {
		return outcome{}, os.ErrDeadlineExceeded
	}
	p.mu.Lock()
	p.number++
	base := filepath.Join(p.folder, fmt.Sprintf("%s-%d", name(p.site), p.number))
	p.mu.Unlock()
	if err := t.writeDay(base+".toml", p.Length, degree); err != nil {
		return outcome{}, err
	}
	command := exec.Command(p.Bench, "run", p.site, base+".toml", "--seed", strconv.FormatInt(seed, 10), "--no-cpu",
		"--report", base+".json", "--why", fmt.Sprintf("degrees: %s at %.3g", t.Name, degree))
	command.Dir = filepath.Join(p.folder, "sources")
	timer := time.AfterFunc(left, func() { _ = command.Process.Signal(os.Interrupt) })
	defer timer.Stop()
	// A day that breaks a rule ends with an error and has its report all the same.
	_ = command.Run()
	text, err := os.ReadFile(base + ".json")
	if err != nil {
		return outcome{}, err
	}
	var r report
	if err := json.Unmarshal(text, &r); err != nil {
		return outcome{}, err
	}
	o := outcome{served: r.Served}
	for rule := range r.Breaks {
		o.broken = append(o.broken, rule)
	}
	return o, nil
}

// name returns a site's name.
func name(site string) string {
	base := filepath.Base(site)
	return base[:len(base)-len(filepath.Ext(base))]
}
