package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Any writer may have written a record, so one that does not make sense is relied on by nobody.
func TestStoredRecordsAreRead(t *testing.T) {
	for name, test := range map[string]struct {
		value string
		want  Stored
	}{
		"two versions": {`{"versions":["v1","v2"],"generation":4}`, Stored{"s", []string{"v1", "v2"}, 4, 5, 0}},
		"its time":     {`{"versions":["v1"],"generation":4,"kept_ms":20000}`, Stored{"s", []string{"v1"}, 4, 5, 20 * time.Second}},
		"a negative":   {`{"versions":["v1"],"generation":4,"kept_ms":-1}`, Stored{"s", []string{"v1"}, 4, 5, 0}},
		"a long one":   {`{"versions":["v1"],"generation":4,"kept_ms":600001}`, Stored{"s", []string{"v1"}, 4, 5, 0}},
		"no JSON":      {`{`, Stored{"s", nil, unreadable, 5, 0}},
		"no versions":  {`{"generation":4}`, Stored{"s", nil, unreadable, 5, 0}},
		"another type": {`{"versions":"v1","generation":4}`, Stored{"s", nil, unreadable, 5, 0}},
	} {
		assert.Equal(t, test.want, ReadStored("s", []byte(test.value), 5), name)
	}
	for _, kept := range []time.Duration{0, 20 * time.Second} {
		s := Stored{"s", []string{"v1"}, 4, 5, kept}
		assert.Equal(t, s, ReadStored("s", s.Value(), 5))
	}
}
