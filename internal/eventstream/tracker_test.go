package eventstream

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An event that is cut off in any place is not taken for a complete one.
func TestTracker(t *testing.T) {
	for stream, within := range map[string]bool{
		"":                      false,
		"id: 1":                 true,
		"id: 1\n":               true,
		"id: 1\r\n":             true,
		"id: 1\ndata: a\n\n":    false,
		"data: a\r\n\r\n":       false,
		"data: a\r\r":           false,
		"data: a\n\r\n":         false,
		"data: a\n\ni":          true,
		"data: a\n\n: alive\n":  true,
		"\n":                    false,
		"data: a\n\ndata: b\n":  true,
		"data: a\r\n\r\ndata: ": true,
	} {
		whole, split := NewTracker(), NewTracker()
		whole.Add([]byte(stream))
		for i := range stream {
			split.Add([]byte(stream[i : i+1]))
		}
		assert.Equal(t, within, whole.WithinEvent(), "%q", stream)
		assert.Equal(t, within, split.WithinEvent(), "%q byte by byte", stream)
	}
}
