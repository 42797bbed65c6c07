package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// row is one fact that routers keep in memory only.
type row interface {
	// name is how the table names the fact.
	name() string
	// changes are what may change around the end of the routers, the plainest first.
	changes() []string
	// lifetime is for how long a fact matters in a case.
	lifetime(s scenario) time.Duration
	// play plays a case on a fleet that has not started yet.
	play(f *fleet) (outcome, error)
}

var rows = []row{streams{}, deadly{}, rest{}, retries{}, orders{}, once{}, load{}}

func rowNames() []string {
	var names []string
	for _, r := range rows {
		names = append(names, r.name())
	}
	return names
}

// Ways in which routers end and return.
const (
	// endKilled: all are killed at once.
	endKilled = "killed"
	// endTwice: all are killed at once, and again soon after their return.
	endTwice = "killed twice"
	// endPower: all fall silent, and what they had open breaks only as they return.
	endPower = "power"
	// endInTurn: one is killed each second.
	endInTurn = "in turn"
	// endUpdate: one after another is told to stop and replaced, as in an update of the program.
	endUpdate = "update"
	// endMost: two thirds are killed, and the others 2 s later.
	endMost = "two thirds"
	// endHalf: half of them are killed.
	endHalf = "half"
	// endStill: one is killed and returns while all others stand still.
	endStill = "peers still"
)

var ends = []string{endKilled, endTwice, endPower, endInTurn, endUpdate, endMost, endHalf, endStill}

// States of the store when the first router returns.
const (
	storeNormal = "normal"
	// storeAway: it answers nobody for storeAwayTime.
	storeAway = "away"
	// storeSlow: each answer, so each page of the list, waits for storeSlowTime.
	storeSlow = "slow"
	// storeCopy: it came back from a copy of before the change, with the next era.
	storeCopy = "copy"
)

var stores = []string{storeNormal, storeAway, storeSlow, storeCopy}

const (
	storeAwayTime = 2 * time.Second
	storeSlowTime = 300 * time.Millisecond
	// plainAbsence is the absence of the plainest case, if it is among those asked for.
	plainAbsence = time.Second
)

// scenario is one case.
type scenario struct {
	row     row
	change  string
	end     string
	store   string
	absence time.Duration
	size    int
	seed    uint64
}

func (s scenario) String() string {
	return fmt.Sprintf("%s, %s, %s, store %s, %s, %d routers, seed %d", s.row.name(), s.change, s.end, s.store, s.absence, s.size, s.seed)
}

// cases returns the cases asked for.
func (a arguments) cases() ([]scenario, error) {
	ends, err := chosen("--ends", a.Ends, ends)
	if err != nil {
		return nil, err
	}
	stores, err := chosen("--stores", a.Stores, stores)
	if err != nil {
		return nil, err
	}
	names, err := chosen("--rows", a.Rows, rowNames())
	if err != nil {
		return nil, err
	}
	absence := a.Absences[0]
	if slices.Contains(a.Absences, plainAbsence) {
		absence = plainAbsence
	}
	var cases []scenario
	for _, r := range rows {
		if !slices.Contains(names, r.name()) {
			continue
		}
		for _, change := range r.changes() {
			if len(a.Changes) > 0 && !slices.Contains(a.Changes, change) {
				continue
			}
			plain := scenario{row: r, change: change, end: ends[0], store: stores[0], absence: absence, size: a.Sizes[0]}
			for _, s := range a.combinations(plain, ends, stores) {
				if a.Cross || s.differences(plain) <= 1 {
					cases = append(cases, s)
				}
			}
		}
	}
	if len(cases) == 0 {
		return nil, fmt.Errorf("--changes %s: %w", list(a.Changes), errUnknown)
	}
	if a.Shuffle {
		rand.New(rand.NewPCG(a.Seeds[0], 0)).Shuffle(len(cases), func(i, j int) { cases[i], cases[j] = cases[j], cases[i] })
	}
	return cases, nil
}

// combinations returns all cases of a row and change.
func (a arguments) combinations(plain scenario, ends, stores []string) []scenario {
	var out []scenario
	for _, size := range a.Sizes {
		for _, end := range ends {
			for _, store := range stores {
				for _, absence := range a.Absences {
					for _, seed := range a.Seeds {
						s := plain
						s.size, s.end, s.store, s.absence, s.seed = size, end, store, absence, seed
						out = append(out, s)
					}
				}
			}
		}
	}
	return out
}

// differences counts in how many ways a case differs from another of its row.
func (s scenario) differences(other scenario) int {
	n := 0
	for _, differs := range []bool{s.end != other.end, s.store != other.store, s.absence != other.absence, s.size != other.size} {
		if differs {
			n++
		}
	}
	return n
}

// chosen returns the values asked for, or all.
func chosen(flag string, asked, all []string) ([]string, error) {
	for _, value := range asked {
		if !slices.Contains(all, value) {
			return nil, fmt.Errorf("%s %q: %w, there are: %s", flag, value, errUnknown, list(all))
		}
	}
	if len(asked) == 0 {
		return all, nil
	}
	return asked, nil
}

func list(values []string) string { return strings.Join(values, ", ") }

// outcome is what callers and replicas saw in one case.
type outcome struct {
	// asked is how many were tried after the return: kept went on as before, failed ended in
	// another way than by a refusal.
	asked, kept, refused, failed int
	// late is how many of those that failed got no answer within the time that their caller gave.
	late int
	// broken is how many, of these or of others, are against the rules.
	broken int
	// retried is how many of those kept were refused before.
	retried int
	// slowest is the longest time until a refusal.
	slowest time.Duration
	// violations are what else was against the rules.
	violations []string
	// notes are figures of the row's own.
	notes string
	// reads and writes are calls to the store by a router before the end and since the return.
	before, since calls
}

// calls counts what routers asked of the store.
type calls struct{ reads, writes int64 }

// result is the outcome of a case, or why there is none.
type result struct {
	scenario
	outcome
	err error
}

// held reports whether no rule was broken.
func (r result) held() bool { return r.err == nil && r.broken == 0 && len(r.violations) == 0 }

func (r result) summary() string {
	if r.err != nil {
		return r.err.Error()
	}
	text := fmt.Sprintf("%d of %d kept, %d refused, %d broken", r.kept, r.asked, r.refused, r.broken)
	if len(r.violations) > 0 {
		text += "; " + r.violations[0]
	}
	return text
}

// programs are the one that routers start with, and the one that they return with.
type programs struct{ first, next string }

// play plays a case in a folder of its own. The routers' logs are kept in logs if a rule was broken.
func (s scenario) play(programs programs, folder, logs string) (outcome, error) {
	f, err := newFleet(s, programs, folder)
	if err != nil {
		return outcome{}, err
	}
	defer f.close()
	o, err := s.row.play(f)
	if err == nil {
		err = f.endedByItself()
	}
	if logs != "" && !(result{outcome: o, err: err}).held() {
		kept := filepath.Join(logs, strings.NewReplacer(", ", "-", " ", "-").Replace(s.String()))
		if err := os.CopyFS(kept, os.DirFS(folder)); err != nil {
			return o, err
		}
	}
	return o, err
}
