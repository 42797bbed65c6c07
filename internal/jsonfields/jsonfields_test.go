package jsonfields

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
)

var errBase = errors.New("not an object of this kind")

func TestFirstFieldThatFailsIsReported(t *testing.T) {
	for name, test := range map[string]struct{ object, err string }{
		"all there":    {`{"a":3,"b":"x","c":1}`, ""},
		"no object":    {`[`, "unexpected end"},
		"lacks one":    {`{"b":"x"}`, "no a"},
		"null":         {`{"a":null,"b":"x"}`, "a is of another type"},
		"another type": {`{"a":3,"b":4}`, "b is of another type"},
		"out of range": {`{"a":-1,"b":4}`, "a is out of range"},
	} {
		t.Run(name, func(t *testing.T) {
			var a int
			var b string
			r := NewReader([]byte(test.object), errBase)
			r.Read("a", &a, func() bool { return a > 0 })
			r.Read("b", &b, func() bool { return true })
			if test.err == "" {
				assert.NoError(t, r.Err())
				assert.True(t, r.Has("c"))
				assert.False(t, r.Has("d"))
				return
			}
			assert.ErrorIs(t, r.Err(), errBase)
			assert.ErrorContains(t, r.Err(), test.err)
		})
	}
}
