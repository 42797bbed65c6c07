// Package mechanism names the mechanisms by which the fleet decides, so that an
// experiment can leave one out and measure what it is worth. A router that serves
// users leaves none out.
package mechanism

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Mechanism is one of the ways by which the fleet decides.
type Mechanism uint32

// The mechanisms.
const (
	// Holders: which engines hold which parts of prompts is remembered and told.
	Holders Mechanism = 1 << iota
	// Copies: an engine is told where to copy from what it lacks.
	Copies
	// Near: small prompts are kept in each data centre, and near holders come first.
	Near
	// Leavers: replicas that are listed no more are copied from for a while.
	Leavers
	// Bound: no replica gets more than a multiple of the mean.
	Bound
	// Silence: a data centre whose routers are silent is passed over.
	Silence
	// Pace: a replica far slower than the others is passed over.
	Pace
	// Evidence: a failure that sound replicas show too counts if it stands out.
	Evidence
	// Rumors: failures that other routers saw count.
	Rumors
	// LastResort: the least bad replicas are chosen among by home.
	LastResort
	// Resume: a stream that broke off goes on at another replica.
	Resume
	// Hang: an attempt without an answer is given up and repeated.
	Hang
	// Recall: a router that starts learns who holds what.
	Recall
	// Priority: engines are told how urgent a request is.
	Priority
	// Rank: the store is read by some routers for all.
	Rank
	// Renew: an old list of replicas is renewed before a request is sent.
	Renew
	// Spread: a part that draws more than its home takes is spread over several.
	Spread
	// Admission: a plain service without capacity for all requests refuses some at once.
	Admission
	// PlainRates: replicas of plain services are drawn by the rates that they can take.
	PlainRates
	// Relay: requests of a service that a router does not reach are handed to another one.
	Relay
)

// ErrUnknown: there is no such mechanism.
var ErrUnknown = errors.New("mechanism: no such mechanism")

// names are those of settings, in the order of the constants.
var names = []string{
	"holders", "copies", "near", "leavers", "bound", "silence", "pace", "evidence", "rumors",
	"last_resort", "resume", "hang", "recall", "priority", "rank", "renew", "spread",
	"admission", "rates", "relay",
}

// Names returns the names of all mechanisms.
func Names() []string { return slices.Clone(names) }

// Set is a set of mechanisms. The zero value is empty.
type Set uint32

// Has tells whether a mechanism is in the set.
func (s Set) Has(m Mechanism) bool { return s&Set(m) != 0 }

// Parse reads names that are separated by commas.
func Parse(text string) (Set, error) {
	var s Set
	for field := range strings.SplitSeq(text, ",") {
		name := strings.TrimSpace(field)
		if name == "" {
			continue
		}
		i := slices.Index(names, name)
		if i < 0 {
			return 0, fmt.Errorf("%w: %q; there are %s", ErrUnknown, name, strings.Join(names, ", "))
		}
		s |= 1 << i
	}
	return s, nil
}
