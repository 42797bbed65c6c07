package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/route"
)

func table(t *testing.T, version uint64) *route.Table {
	t.Helper()
	compiled, err := route.Compile(route.Config{Version: version})
	require.NoError(t, err)
	return compiled
}

func TestVersionOnlyIncreases(t *testing.T) {
	start := time.Now()
	h := NewHolder()
	assert.Nil(t, h.Current().Table)
	assert.True(t, h.Update(table(t, 5), start))
	assert.False(t, h.Update(table(t, 3), start.Add(time.Second)), "an answer overtaken by a newer one")
	assert.EqualValues(t, 5, h.Current().Table.Version())
	assert.Equal(t, start, h.Current().ProvenAt, "an older version proves nothing about this one")
	assert.True(t, h.Update(table(t, 9), start.Add(-time.Second)))
	assert.Equal(t, start, h.Current().ProvenAt, "the earlier proof still holds for the newer version")
}

func TestProofs(t *testing.T) {
	start := time.Now()
	h := NewHolder()
	assert.False(t, h.ConfirmVersion(1, start), "no version is held")
	h.Update(table(t, 5), start)
	assert.False(t, h.ConfirmVersion(4, start.Add(time.Hour)))
	assert.False(t, h.ConfirmVersion(6, start.Add(time.Hour)), "a version that is not held can't be proven")
	assert.True(t, h.ConfirmVersion(5, start.Add(time.Second)))
	assert.True(t, h.ConfirmVersion(5, start))
	assert.Equal(t, start.Add(time.Second), h.Current().ProvenAt, "a late proof does not move the time back")
	assert.False(t, h.Update(table(t, 5), start.Add(2*time.Second)))
	assert.Equal(t, 3*time.Second, h.Current().ProofAge(start.Add(5*time.Second)))
}
