package main

import "fmt"

// outcome is what one degree of a trouble came to, over all seeds.
type outcome struct {
	// served is the least share of the requests that was served, broken names the rules that
	// were broken.
	served float64
	broken []string
}

// search looks for the least degree at which a trouble does harm.
type search struct {
	// play plays a degree. It returns false if there is no time left.
	play func(degree float64) (outcome, bool)
	// harm reports whether an outcome counts.
	harm func(outcome) bool
	// first is the degree to begin with, halvings is how often the gap between a degree
	// without harm and one with it is halved.
	first    float64
	halvings int
}

// finding is the result of a search: harm at degree most, none at degree least.
type finding struct {
	least, most float64
	harmful     outcome
	// found is set if any degree did harm, complete if the search came to its end.
	found, complete bool
}

// run doubles the degree up to 1 until it does harm, and then halves the gap.
func (s search) run() finding {
	var f finding
	for degree := s.first; ; degree = min(2*degree, 1) {
		o, played := s.play(degree)
		if !played {
			return f
		}
		if s.harm(o) {
			f.most, f.harmful, f.found = degree, o, true
			break
		}
		f.least = degree
		if degree == 1 {
			f.complete = true
			return f
		}
	}
	for range s.halvings {
		middle := (f.least + f.most) / 2
		o, played := s.play(middle)
		if !played {
			return f
		}
		if s.harm(o) {
			f.most, f.harmful = middle, o
		} else {
			f.least = middle
		}
	}
	f.complete = true
	return f
}

// String returns the finding as a cell of a table.
func (f finding) String() string {
	text := "none up to 1"
	switch {
	case f.found:
		text = fmt.Sprintf("%.3g", f.most)
	case !f.complete:
		text = fmt.Sprintf("none up to %.3g", f.least)
	}
	if !f.complete {
		text += ", cut off"
	}
	return text
}
