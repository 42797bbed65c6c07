package peer

import (
	"math"

	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// Scales of the wire form: a load in quarters of a request fits one byte up to
// 31 requests an engine.
const (
	loadScale   = 4
	demandScale = 1.0 / 16
)

// EncodeDigest returns the wire form of a digest.
func EncodeDigest(d fleet.Digest) *peerpb.Digest {
	m := &peerpb.Digest{
		Sender:   uint32(d.Sender),
		Sequence: d.Sequence,
		Version:  d.Version,
		Relayed:  d.Relayed,
		Stopping: d.Stopping,
	}
	for _, g := range d.Loads {
		m.Group = append(m.Group, uint32(g.Group))
		m.Load = append(m.Load, uint32(math.Round(g.Load*loadScale)))
	}
	for _, demand := range d.Demands {
		m.Organisation = append(m.Organisation, uint32(demand.Organisation))
		m.Demand = append(m.Demand, uint32(math.Ceil(demand.Rate*demandScale)))
	}
	for _, target := range d.Leaving {
		m.Leaving = append(m.Leaving, uint32(target))
	}
	for _, e := range d.Engines {
		m.Engine = append(m.Engine, e.Engine)
		m.InFlight = append(m.InFlight, uint32(e.InFlight))
	}
	return m
}

// DecodeDigest reads the wire form. Columns of unequal length are read as far
// as they all go, so that a damaged message cannot harm.
func DecodeDigest(m *peerpb.Digest) fleet.Digest {
	d := fleet.Digest{
		Sender:   fleet.ID(m.Sender),
		Sequence: m.Sequence,
		Version:  m.Version,
		Relayed:  m.Relayed,
		Stopping: m.Stopping,
	}
	for i := range min(len(m.Group), len(m.Load)) {
		d.Loads = append(d.Loads, fleet.GroupLoad{Group: fleet.ID(m.Group[i]), Load: float64(m.Load[i]) / loadScale})
	}
	for i := range min(len(m.Organisation), len(m.Demand)) {
		d.Demands = append(d.Demands, fleet.Demand{Organisation: fleet.ID(m.Organisation[i]), Rate: float64(m.Demand[i]) / demandScale})
	}
	for _, target := range m.Leaving {
		d.Leaving = append(d.Leaving, fleet.ID(target))
	}
	for i := range min(len(m.Engine), len(m.InFlight)) {
		d.Engines = append(d.Engines, fleet.EngineCount{Engine: m.Engine[i], InFlight: int(m.InFlight[i])})
	}
	return d
}
