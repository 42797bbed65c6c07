// Package policy implements the operators' configuration: templates, the parameters
// of research groups, plain services and the fleet's own parameters. A change comes
// into force on every router, and no router returns to an older version.
//
//	segment  one INI section, immutable, stored under its hash
//	head     {version, the hash of each segment, the last edits}, one key
//	snapshot the configuration a router uses: all segments of one head, resolved
//
// An edit stores its segments and then replaces the head by compare-and-swap, so the
// head alone decides what is in force; a router adopts only larger versions. The
// package does no I/O of its own: it works on a kv.Store.
package policy

import (
	"errors"
	"fmt"
	"time"
)

// Errors of this package.
var (
	// ErrInvalid: the configuration is not valid; the message names section and key.
	ErrInvalid = errors.New("policy: not valid")
	// ErrConflict: another edit changed the same segment since the base version.
	ErrConflict = errors.New("policy: edit conflict")
	// ErrUnavailable: nothing was changed; the store could not be reached.
	ErrUnavailable = errors.New("policy: service unavailable")
	// ErrOutcomeUnknown: the edit may or may not be in force; repeat it with the same ID.
	ErrOutcomeUnknown = errors.New("policy: outcome unknown")
	// ErrVersionUnknown: the requested version is not in the head's history.
	ErrVersionUnknown = errors.New("policy: version not known")
)

// Kind tells what a segment describes.
type Kind string

// The kinds of segment.
const (
	KindFleet    Kind = "fleet"
	KindTemplate Kind = "template"
	KindGroup    Kind = "group"
	KindService  Kind = "service"
)

// SegmentID identifies a segment by its kind and, except for the fleet, a name.
type SegmentID struct {
	Kind Kind
	Name string
}

// String returns the text of the INI section header.
func (n SegmentID) String() string {
	if n.Name == "" {
		return string(n.Kind)
	}
	return string(n.Kind) + " " + n.Name
}

// Fleet holds the parameters that all routers share.
type Fleet struct {
	// ChatKey and PreviousChatKey authenticate chat tokens (hexadecimal).
	ChatKey         []byte
	PreviousChatKey []byte
	// GroupSize is the number of engines in a placement group.
	GroupSize int
	// PrefillRate is how many prompt tokens an engine computes in a second. It converts
	// cached tokens into the time that a request may wait for them.
	PrefillRate float64
	// LoadRate is how many loads a second the weight store can serve; at 0, the
	// default, the fleet orders none.
	LoadRate float64
	// AdapterCopies is how many engines of a pool should hold an adapter that some
	// group may use there.
	AdapterCopies int
}

// Parameters holds the settings of a template, which a group may override.
type Parameters struct {
	// Share is the weight in fair queueing, above 0.
	Share float64
	// PriorityMin and PriorityMax bound the priorities a caller may request; larger
	// numbers go first.
	PriorityMin int
	PriorityMax int
	// Models and Adapters are the names a request may use.
	Models   []string
	Adapters []string
	// Rate (work tokens a second) and Burst (work tokens) limit surges.
	Rate  float64
	Burst float64
	// Bound is the load factor c: the multiple of the mean load no engine should exceed.
	Bound float64
	// Deadline is a request's time limit when the caller sets none; MaxDeadline is
	// the longest a caller may request.
	Deadline    time.Duration
	MaxDeadline time.Duration
	// MaxOutputTokens bounds the length of the answer and is its estimate when the
	// caller sets none.
	MaxOutputTokens int
}

// Group is one research group with its template's values filled in.
type Group struct {
	Name         string
	Template     string
	Organisation string
	// KeyHashes are the SHA-256 hashes of the group's bearer keys.
	KeyHashes []KeyHash
	Parameters
	// Overrides lists the keys that the group sets itself.
	Overrides []string
}

// Service holds the settings of a plain service.
type Service struct {
	Name string
	// Repeatable tells that a call may be repeated when its outcome is unknown.
	Repeatable bool
	// Timeout bounds one attempt.
	Timeout time.Duration
}

// AllowsModel tells whether the group may use the model.
func (p Parameters) AllowsModel(model string) bool {
	return contains(p.Models, model)
}

// AllowsAdapter tells whether the group may use the adapter; "" (none) is always allowed.
func (p Parameters) AllowsAdapter(adapter string) bool {
	return adapter == "" || contains(p.Adapters, adapter)
}

// Wildcard in a list of models or adapters matches every name.
const Wildcard = "*"

func contains(list []string, name string) bool {
	for _, s := range list {
		if s == name || s == Wildcard {
			return true
		}
	}
	return false
}

// Snapshot is the resolved configuration of one version. It is immutable.
type Snapshot struct {
	Version  uint64
	Fleet    Fleet
	Groups   map[string]*Group
	Services map[string]*Service

	byKey map[KeyHash]*Group
}

// GroupByKey returns the group whose bearer key hashes to h, or nil.
func (s *Snapshot) GroupByKey(h KeyHash) *Group {
	return s.byKey[h]
}

func invalidValue(name SegmentID, key, value, allowed string) error {
	return fmt.Errorf("%w: [%s] %s = %q: %s", ErrInvalid, name, key, value, allowed)
}
