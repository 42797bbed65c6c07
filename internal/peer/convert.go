package peer

import (
	"math"

	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// loadScale turns loads into whole numbers: sixteenths of a request.
const loadScale = 16

// EncodeDigest returns the wire form of a digest.
func EncodeDigest(d fleet.Digest) *peerpb.Digest {
	m := &peerpb.Digest{
		Sender:   uint32(d.Sender),
		Version:  d.Version,
		Stopping: d.Stopping,
		Relay:    d.Relayed,
	}
	for _, row := range d.Rows {
		m.Router = append(m.Router, uint32(row.Router))
		m.Sequence = append(m.Sequence, row.Sequence)
		m.RouterGroups = append(m.RouterGroups, uint32(len(row.Groups)))
		for _, g := range row.Groups {
			m.Group = append(m.Group, uint32(g.Group))
			m.GroupLoad = append(m.GroupLoad, uint32(math.Round(g.Load*loadScale)))
			m.GroupEngines = append(m.GroupEngines, uint32(g.Engines))
		}
	}
	for _, demand := range d.Demands {
		m.Organisation = append(m.Organisation, uint32(demand.Organisation))
		m.Demand = append(m.Demand, uint32(math.Ceil(demand.Rate)))
	}
	for _, target := range d.Leaving {
		m.Leaving = append(m.Leaving, uint32(target))
	}
	return m
}

// DecodeDigest reads the wire form. Columns of unequal length are read as far
// as they all go, so that a damaged message cannot harm.
func DecodeDigest(m *peerpb.Digest) fleet.Digest {
	d := fleet.Digest{
		Sender:   fleet.ID(m.Sender),
		Relayed:  m.Relay,
		Version:  m.Version,
		Stopping: m.Stopping,
	}
	groups := decodeGroups(m)
	for i := range min(len(m.Router), len(m.Sequence), len(m.RouterGroups)) {
		n := min(int(m.RouterGroups[i]), len(groups))
		row := fleet.Row{Router: fleet.ID(m.Router[i]), Sequence: m.Sequence[i], Groups: groups[:n:n]}
		groups = groups[n:]
		d.Rows = append(d.Rows, row)
	}
	for i := range min(len(m.Organisation), len(m.Demand)) {
		d.Demands = append(d.Demands, fleet.Demand{
			Organisation: fleet.ID(m.Organisation[i]),
			Rate:         float64(m.Demand[i]),
		})
	}
	for _, target := range m.Leaving {
		d.Leaving = append(d.Leaving, fleet.ID(target))
	}
	return d
}

func decodeGroups(m *peerpb.Digest) []fleet.GroupLoad {
	n := min(len(m.Group), len(m.GroupLoad), len(m.GroupEngines))
	groups := make([]fleet.GroupLoad, n)
	for i := range groups {
		groups[i] = fleet.GroupLoad{
			Group:   fleet.ID(m.Group[i]),
			Load:    float64(m.GroupLoad[i]) / loadScale,
			Engines: int(m.GroupEngines[i]),
		}
	}
	return groups
}
