package policy

import "slices"

// Delta brings a router from one version to a later one by the edits in between,
// without the whole head.
type Delta struct {
	// From is the version that the edits are applied to.
	From uint64 `json:"from"`
	// Full is the whole head, set when the kept edits do not reach back to From.
	Full *Head `json:"full,omitempty"`
	// Edits lead from From to the newest version, oldest first.
	Edits []Edit `json:"edits,omitempty"`
}

// DeltaSince returns the delta from an earlier version to this head.
func (h Head) DeltaSince(version uint64) Delta {
	first := slices.IndexFunc(h.Edits, func(e Edit) bool { return e.Version == version+1 })
	if version == 0 || first < 0 {
		return Delta{Full: &h}
	}
	return Delta{From: version, Edits: h.Edits[first:]}
}

// SegmentHashes returns the hashes of the segments that the delta adds, newest last.
func (d Delta) SegmentHashes() []Hash {
	var hashes []Hash
	if d.Full != nil {
		for _, e := range d.Full.Segments {
			hashes = append(hashes, e.Hash)
		}
		return hashes
	}
	for _, edit := range d.Edits {
		for _, c := range edit.Changes {
			if c.After != "" && !slices.Contains(hashes, c.After) {
				hashes = append(hashes, c.After)
			}
		}
	}
	return hashes
}

// ApplyDelta returns the head after the delta. It ignores a delta from another version
// and one that leads to an older version.
func (h Head) ApplyDelta(d Delta) Head {
	if d.Full != nil {
		if d.Full.Version > h.Version {
			return *d.Full
		}
		return h
	}
	for _, edit := range d.Edits {
		if edit.Version == h.Version+1 {
			h = h.apply(edit)
		}
	}
	return h
}
