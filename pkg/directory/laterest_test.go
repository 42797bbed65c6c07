package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against requests in a rest that the replica's present process asked for, before a list that was late
// showed that it had started again.
func TestRestOfALaterStartOutlivesItsListing(t *testing.T) {
	e := newEvents()
	e.ready(1).after(2 * time.Second).askForRest(4 * time.Second).after(time.Second).ready(2)
	x, excluded := e.exclusion(false)
	assert.True(t, excluded, "asked 2 s after the last list that showed the start before")
	assert.Equal(t, RestRequested, x.Reason)
}
