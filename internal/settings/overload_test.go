package settings

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against admission control that is on by default, and against misread lists.
func TestOverloadSettings(t *testing.T) {
	s, err := Parse("r.ini", []byte(good))
	require.NoError(t, err)
	assert.Equal(t, AdmissionOff, s.Overload.Admission)
	assert.Empty(t, s.Platform.Contracts)
	for value, want := range map[string][]string{"": nil, "a": {"a"}, "a,b, c-d": {"a", "b", "c-d"}} {
		s, err := Parse("r.ini", []byte(good+"contracts = "+value+"\n[overload]\nadmission = auto\n"))
		require.NoError(t, err, value)
		assert.Equal(t, want, s.Platform.Contracts, value)
		assert.Equal(t, AdmissionAuto, s.Overload.Admission)
	}
}

// Guards against a misspelt value that silently turns admission control off.
func TestBadOverloadSettings(t *testing.T) {
	for _, bad := range []string{
		"[overload]\nadmission = maybe\n", "[overload]\nadmission =\n", "[overload]\nadmission = ON\n", "[overload]\nlimit = 1\n",
		"contracts = a,,b\n", "contracts = a b\n", "contracts = ,\n",
	} {
		_, err := Parse("r.ini", []byte(good+bad))
		assert.ErrorIs(t, err, ErrInvalid, bad)
	}
}
