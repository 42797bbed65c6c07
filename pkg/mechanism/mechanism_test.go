package mechanism

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	none, err := Parse("")
	require.NoError(t, err)
	assert.Zero(t, none)
	two, err := Parse("holders, renew")
	require.NoError(t, err)
	assert.True(t, two.Has(Holders))
	assert.True(t, two.Has(Renew), "names stand in the order of the constants")
	assert.False(t, two.Has(Copies))
	_, err = Parse("holders,holder")
	require.ErrorIs(t, err, ErrUnknown)
	assert.ErrorContains(t, err, `"holder"; there are holders, copies`)
	assert.Equal(t, Relay, Mechanism(1<<(len(Names())-1)))
}
