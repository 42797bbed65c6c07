package origin

import (
	"encoding/json"
	"time"
)

// Stored is the record of a service's versions in the store, or that of the texts of Routes.
type Stored struct {
	Service  string
	Versions []string
	// Generation is that of the store when the record was written. In a later generation, which
	// came from a copy, the record may lack versions.
	Generation uint64
	// Revision is the record's revision, 0 if there is none.
	Revision uint64
	// Kept is for how long versions are kept in the record after they last served, 0 if it does not
	// state that, as those of earlier builds.
	Kept time.Duration
}

// maxKept bounds Stored.Kept. Streams last for some minutes at most.
const maxKept = 10 * time.Minute

// statable returns a time as a record can state it, rounded up.
func statable(d time.Duration) time.Duration {
	return min((d + time.Millisecond - 1).Truncate(time.Millisecond), maxKept)
}

// unreadable is the generation of a record that cannot be read. No store has it.
const unreadable = ^uint64(0)

// storedValue is the value of a record.
type storedValue struct {
	Versions   []string `json:"versions"`
	Generation uint64   `json:"generation"`
	KeptMs     int64    `json:"kept_ms,omitempty"`
}

// Value returns the value of the record in the store.
func (s Stored) Value() []byte {
	// Texts and numbers can always be encoded.
	value, _ := json.Marshal(storedValue{s.Versions, s.Generation, s.Kept.Milliseconds()})
	return value
}

// ReadStored returns the record of a service. One that cannot be read is of no generation that the
// store has, so it is not relied on.
func ReadStored(service string, value []byte, revision uint64) Stored {
	s := Stored{Service: service, Revision: revision, Generation: unreadable}
	var read storedValue
	if json.Unmarshal(value, &read) == nil && len(read.Versions) > 0 {
		s.Versions, s.Generation = read.Versions, read.Generation
		if read.KeptMs > 0 && read.KeptMs <= maxKept.Milliseconds() {
			s.Kept = time.Duration(read.KeptMs) * time.Millisecond
		}
	}
	return s
}
