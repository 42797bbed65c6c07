package silence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against ending a silent attempt within an event: no other replica can go on there.
func TestSilenceWithinEventEndsNothing(t *testing.T) {
	silence := &Timer{limit: time.Hour, report: func() {}, failover: func() bool {
		assert.Fail(t, "it could not go on")
		return true
	}}
	silence.timer = time.AfterFunc(time.Hour, func() {})
	silence.Reset(true)
	silence.fire()
	assert.False(t, silence.Stop(), "it was silent")
	silence.fire()
}
