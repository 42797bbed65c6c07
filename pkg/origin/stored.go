package origin

import "encoding/json"

// Stored is the record of a service's versions in the store, or that of the texts of Routes.
type Stored struct {
	Service  string
	Versions []string
	// Generation is that of the store when the record was written. In a later generation, which
	// came from a copy, the record may lack versions.
	Generation uint64
	// Revision is the record's revision, 0 if there is none.
	Revision uint64
}

// unreadable is the generation of a record that cannot be read. No store has it.
const unreadable = ^uint64(0)

// storedValue is the value of a record.
type storedValue struct {
	Versions   []string `json:"versions"`
	Generation uint64   `json:"generation"`
}

// Value returns the value of the record in the store.
func (s Stored) Value() []byte {
	// Texts and numbers can always be encoded.
	value, _ := json.Marshal(storedValue{s.Versions, s.Generation})
	return value
}

// ReadStored returns the record of a service. One that cannot be read is of no generation that the
// store has, so it is not relied on.
func ReadStored(service string, value []byte, revision uint64) Stored {
	s := Stored{Service: service, Revision: revision, Generation: unreadable}
	var read storedValue
	if json.Unmarshal(value, &read) == nil && len(read.Versions) > 0 {
		s.Versions, s.Generation = read.Versions, read.Generation
	}
	return s
}
