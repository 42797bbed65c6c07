// Package jsonfields reads JSON objects whose fields must all be there, of their type and in range.
package jsonfields

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Reader reads the fields of one object up to the first that is not as it must be.
type Reader struct {
	fields map[string]json.RawMessage
	base   error
	err    error
}

// NewReader returns a reader of an object. Its errors wrap base.
func NewReader(object []byte, base error) *Reader {
	r := &Reader{base: base}
	if err := json.Unmarshal(object, &r.fields); err != nil {
		r.err = fmt.Errorf("%w: %w", base, err)
	}
	return r
}

// Has reports whether there is a field.
func (r *Reader) Has(name string) bool {
	_, found := r.fields[name]
	return found
}

// Read reads a field into a pointer, unless an earlier one failed. inRange is called afterwards.
func (r *Reader) Read(name string, into any, inRange func() bool) {
	if r.err != nil {
		return
	}
	raw, found := r.fields[name]
	switch {
	case !found:
		r.err = fmt.Errorf("%w: no %s", r.base, name)
	case bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, into) != nil:
		r.err = fmt.Errorf("%w: %s is of another type", r.base, name)
	case !inRange():
		r.err = fmt.Errorf("%w: %s is out of range", r.base, name)
	}
}

// Err returns the first error, or nil if all fields were as they must be.
func (r *Reader) Err() error { return r.err }
