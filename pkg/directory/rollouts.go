package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/rollout"
)

// applyRollouts sets the roll-outs that a read lists and returns the changes. The time
// since an order was first seen by any router is passed on with it.
func (d *Directory) applyRollouts(list []rollout.Record) []Change {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b rollout.Record) int { return cmp.Compare(a.Service, b.Service) })
	var changes []Change
	for i := range list {
		r := &list[i]
		r.SeenAt = d.readTime.Add(-r.Elapsed)
		known := d.rolloutOf(r.Service)
		if known == nil || !known.Same(r) {
			changes = append(changes, Change{Rollout: r.Service, Kind: RolloutChanged})
		}
		if known != nil && known.Order == r.Order && known.SeenAt.Before(r.SeenAt) {
			r.SeenAt = known.SeenAt
		}
	}
	for i := range d.rollouts {
		service := d.rollouts[i].Service
		if !slices.ContainsFunc(list, func(r rollout.Record) bool { return r.Service == service }) {
			changes = append(changes, Change{Rollout: service, Kind: RolloutChanged})
		}
	}
	d.rollouts = list
	return changes
}

func (d *Directory) rolloutOf(service string) *rollout.Record {
	for i := range d.rollouts {
		if d.rollouts[i].Service == service {
			return &d.rollouts[i]
		}
	}
	return nil
}

// Rollouts returns the roll-outs of services, sorted by service.
func (d *Directory) Rollouts() []rollout.Record { return slices.Clone(d.rollouts) }

// ListedRollouts returns the roll-outs as of the last read, to pass on to other routers.
func (d *Directory) ListedRollouts() []rollout.Record {
	list := slices.Clone(d.rollouts)
	for i := range list {
		list[i].Elapsed = max(d.readTime.Sub(list[i].SeenAt), 0)
		list[i].SeenAt = time.Time{}
	}
	return list
}

// rolloutIdentity is what the hash of a list covers of a roll-out.
func rolloutIdentity(list []rollout.Record) []any {
	var all []any
	for _, r := range list {
		all = append(all, r.Service, r.Order, r.Status)
	}
	return all
}
