package continuation

import "github.com/croftyard/croftyard/internal/eventstream"

// Position is how far a stream was forwarded.
type Position struct {
	// LastEvent is the id of the last complete event that was forwarded and had one.
	LastEvent string
	// WithinEvent is set while a piece of an incomplete event was forwarded.
	WithinEvent bool
	// unnamed is set if the last event with data had no id.
	unnamed bool
}

// Record records behind which event the stream goes on after an event. One with data but
// without an id leaves the position unknown: a replica would send it again.
func (p *Position) Record(event eventstream.Fields) {
	if event.ID != "" {
		p.LastEvent = event.ID
	}
	if event.ID != "" || event.HasData {
		p.unnamed = event.ID == ""
	}
}

// IsKnown reports whether another replica can go on with the stream where it is.
func (p *Position) IsKnown() bool { return !p.WithinEvent && !p.unnamed }
