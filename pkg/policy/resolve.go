package policy

import (
	"errors"
	"fmt"
	"slices"

	"gopkg.in/ini.v1"
)

// Defaults of values that are not set in the configuration.
const (
	DefaultBound       = 1.15
	DefaultGroupSize   = 10
	DefaultPrefillRate = 8000
	// DefaultAdapterCopies keeps every adapter available when one engine fails.
	DefaultAdapterCopies = 2
)

// Resolve validates segments together and builds the snapshot of one version, in
// which groups inherit the values of their templates. It reports all errors together.
func Resolve(version uint64, segments []Segment) (*Snapshot, error) {
	r := resolver{
		snapshot: &Snapshot{
			Version:  version,
			Fleet:    Fleet{GroupSize: DefaultGroupSize, PrefillRate: DefaultPrefillRate, AdapterCopies: DefaultAdapterCopies},
			Groups:   make(map[string]*Group),
			Services: make(map[string]*Service),
			byKey:    make(map[KeyHash]*Group),
		},
		templates: make(map[string]Parameters),
	}
	// Add templates before the groups that refer to them, whatever the segments' order.
	for _, kind := range []Kind{KindFleet, KindTemplate, KindGroup, KindService} {
		for _, s := range segments {
			if s.ID.Kind == kind {
				r.add(s)
			}
		}
	}
	if len(r.problems) > 0 {
		return nil, errors.Join(r.problems...)
	}
	return r.snapshot, nil
}

type resolver struct {
	snapshot  *Snapshot
	templates map[string]Parameters
	problems  []error
}

func (r *resolver) add(s Segment) {
	parsed, err := parseINI(s.Text)
	if err != nil {
		r.problems = append(r.problems, fmt.Errorf("%w: [%s]: %v", ErrInvalid, s.ID, err))
		return
	}
	f := &sectionReader{id: s.ID, section: parsed.Section(s.ID.String())}
	switch s.ID.Kind {
	case KindFleet:
		r.addFleet(f)
	case KindTemplate:
		r.addTemplate(f)
	case KindGroup:
		r.addGroup(f)
	case KindService:
		r.addService(f)
	}
	f.rejectUnread()
	r.problems = append(r.problems, f.problems...)
}

func (r *resolver) addFleet(f *sectionReader) {
	fleet := &r.snapshot.Fleet
	f.hex("chat_key", &fleet.ChatKey)
	f.hex("previous_chat_key", &fleet.PreviousChatKey)
	f.integer("group_size", &fleet.GroupSize, 1, 1000)
	f.float("prefill_rate", &fleet.PrefillRate, 1, 1e9)
	f.float("load_rate", &fleet.LoadRate, 0, 1000)
	f.integer("adapter_copies", &fleet.AdapterCopies, 1, 1000)
}

func (r *resolver) addTemplate(f *sectionReader) {
	p := Defaults()
	readParameters(f, &p)
	r.templates[f.id.Name] = p
}

func (r *resolver) addGroup(f *sectionReader) {
	g := &Group{Name: f.id.Name, Parameters: Defaults()}
	f.text("template", &g.Template)
	if g.Template != "" {
		template, found := r.templates[g.Template]
		if !found {
			f.reject("template", g.Template, "no such template")
		}
		g.Parameters = template
	}
	f.text("organisation", &g.Organisation)
	if g.Organisation == "" {
		f.reject("organisation", "", "must be set")
	}
	g.Overrides = readParameters(f, &g.Parameters)
	r.addKeys(f, g)
	r.snapshot.Groups[g.Name] = g
}

func (r *resolver) addKeys(f *sectionReader, g *Group) {
	var hashes []string
	f.list("keys", &hashes)
	for _, text := range hashes {
		h, err := ParseKeyHash(text)
		if err != nil {
			f.reject("keys", text, "must be sha256: and 64 hexadecimal digits (croftyardctl key new)")
			continue
		}
		if other := r.snapshot.byKey[h]; other != nil {
			f.reject("keys", text, fmt.Sprintf("is also a key of group %s", other.Name))
			continue
		}
		g.KeyHashes = append(g.KeyHashes, h)
		r.snapshot.byKey[h] = g
	}
}

func (r *resolver) addService(f *sectionReader) {
	s := &Service{Name: f.id.Name, Timeout: defaultDeadline}
	f.boolean("repeatable", &s.Repeatable)
	f.duration("timeout", &s.Timeout)
	r.snapshot.Services[s.Name] = s
}

// Defaults returns the parameters of a template or group that sets none.
func Defaults() Parameters {
	return Parameters{
		Share:           1,
		PriorityMax:     9,
		Rate:            100_000,
		Burst:           200_000,
		Bound:           DefaultBound,
		Deadline:        defaultDeadline,
		MaxDeadline:     defaultMaxDeadline,
		MaxOutputTokens: 1024,
	}
}

// readParameters reads the keys that templates and groups have in common and returns
// those that were set.
func readParameters(f *sectionReader, p *Parameters) []string {
	before := len(f.readKeys)
	f.float("share", &p.Share, 0.001, 1e6)
	f.integer("priority_min", &p.PriorityMin, -100, 100)
	f.integer("priority_max", &p.PriorityMax, -100, 100)
	f.list("models", &p.Models)
	f.list("adapters", &p.Adapters)
	f.float("rate", &p.Rate, 1, 1e12)
	f.float("burst", &p.Burst, 1, 1e12)
	f.float("bound", &p.Bound, 1, 100)
	f.duration("deadline", &p.Deadline)
	f.duration("max_deadline", &p.MaxDeadline)
	f.integer("max_output_tokens", &p.MaxOutputTokens, 1, 1<<20)
	if p.PriorityMin > p.PriorityMax {
		f.reject("priority_min", fmt.Sprint(p.PriorityMin), fmt.Sprintf("must not exceed priority_max (%d)", p.PriorityMax))
	}
	if p.Deadline > p.MaxDeadline {
		f.reject("deadline", p.Deadline.String(), fmt.Sprintf("must not exceed max_deadline (%s)", p.MaxDeadline))
	}
	return slices.Clone(f.readKeys[before:])
}

// sectionReader reads the keys of one section and collects their errors.
type sectionReader struct {
	id       SegmentID
	section  *ini.Section
	readKeys []string
	problems []error
}
