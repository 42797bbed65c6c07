package eventstream

import "bytes"

// Fields are the fields of an event that say where its stream goes on.
type Fields struct {
	// ID is the last id, empty if there is none.
	ID string
	// HasData is set if the event has a data field.
	HasData bool
}

// Add reads a line, or the beginning of a long one. An id counts only if all of it was read.
func (e *Fields) Add(line []byte, ended bool) {
	name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
	switch string(name) {
	case "id":
		e.ID = ""
		if ended {
			e.ID = string(bytes.TrimSpace(value))
		}
	case "data":
		e.HasData = true
	}
}
