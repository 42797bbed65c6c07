package origin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a version that serves and is removed from the record by a router whose list is too old
// to show it.
func TestKeeperWithAnOldListRemovesNothing(t *testing.T) {
	for name, stale := range map[string]bool{"a current list": false, "an old list": true} {
		t.Run(name, func(t *testing.T) {
			served := servedBy(true, "v1")
			served[0].Stale = stale
			step := keeperAfterRead(1, "v1", "v2").Next(served, 1, 0, at(1))
			assert.Equal(t, stale, len(step.Write) == 0, "%+v", step)
		})
	}
}
