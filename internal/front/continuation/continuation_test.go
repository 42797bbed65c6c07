package continuation

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/eventstream"
)

// What replicas of two versions or services write does not fit together.
func TestOriginAllowsItsOwnVersionOnly(t *testing.T) {
	begun := StartedAt("s", "v1")
	for _, test := range []struct {
		origin  Origin
		version Version
		allowed bool
	}{
		{Origin{}, KnownVersion("v1"), true},
		{Origin{}, Version{}, true},
		{begun, KnownVersion("v1"), true},
		{begun, KnownVersion("v2"), false},
		{begun, Version{Name: "v1"}, false},
		{StartedAt("s", ""), KnownVersion(""), true},
		{StartedAt("s", ""), Version{}, false},
		{Origin{State: Unknown}, KnownVersion("v1"), false},
	} {
		assert.Equal(t, test.allowed, test.origin.Allows(test.version), "%+v", test)
	}
	assert.True(t, begun.MovedFrom("other"))
	assert.False(t, begun.MovedFrom("s"))
	assert.False(t, Origin{}.MovedFrom("s"))
}

// Behind an event with data that has no id a replica would send it again.
func TestPositionIsKnownBehindNamedEvents(t *testing.T) {
	named := eventstream.Fields{ID: "1", HasData: true}
	unnamed := eventstream.Fields{HasData: true}
	comment := eventstream.Fields{}
	for name, test := range map[string]struct {
		events    []eventstream.Fields
		known     bool
		lastEvent string
	}{
		"at the beginning":          {nil, true, ""},
		"named":                     {[]eventstream.Fields{named}, true, "1"},
		"unnamed":                   {[]eventstream.Fields{unnamed}, false, ""},
		"named, then unnamed":       {[]eventstream.Fields{named, unnamed}, false, "1"},
		"unnamed, then named":       {[]eventstream.Fields{unnamed, named}, true, "1"},
		"named, then a comment":     {[]eventstream.Fields{named, comment}, true, "1"},
		"unnamed, then a comment":   {[]eventstream.Fields{unnamed, comment}, false, ""},
		"an id alone, then unnamed": {[]eventstream.Fields{{ID: "1"}, unnamed}, false, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			var p Position
			for _, event := range test.events {
				p.Record(event)
			}
			assert.Equal(t, test.known, p.IsKnown())
			assert.Equal(t, test.lastEvent, p.LastEvent)
			p.WithinEvent = true
			assert.False(t, p.IsKnown())
		})
	}
}
