package origin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Any writer may have written a record, so one that does not make sense is relied on by nobody.
func TestStoredRecordsAreRead(t *testing.T) {
	for name, test := range map[string]struct {
		value string
		want  Stored
	}{
		"two versions": {`{"versions":["v1","v2"],"generation":4}`, Stored{"s", []string{"v1", "v2"}, 4, 5}},
		"no JSON":      {`{`, Stored{"s", nil, unreadable, 5}},
		"no versions":  {`{"generation":4}`, Stored{"s", nil, unreadable, 5}},
		"another type": {`{"versions":"v1","generation":4}`, Stored{"s", nil, unreadable, 5}},
	} {
		assert.Equal(t, test.want, ReadStored("s", []byte(test.value), 5), name)
	}
	s := Stored{"s", []string{"v1"}, 4, 5}
	assert.Equal(t, s, ReadStored("s", s.Value(), 5))
}
