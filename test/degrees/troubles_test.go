package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	breaks = trouble{Name: "breaks", Faults: []string{`at = 4.0, kind = "garble", x = DEGREE`}, From: 0, To: 1}
	bursts = trouble{Name: "bursts", Faults: []string{`at = 4.0, kind = "burst", x = DEGREE`}, Plan: []string{`at = 5.0, kind = "release", share = DEGREE`}, From: 1, To: 3}
)

func TestDaysOfDegrees(t *testing.T) {
	tests := map[string]struct {
		trouble trouble
		degree  float64
		want    string
	}{
		"calm":    {breaks, 0, "plan = [\n]\nfaults = [\n]\n"},
		"one":     {bursts, 0.5, "plan = [\n  { at = 5.0, kind = \"release\", share = 2.0000 },\n]\nfaults = [\n  { at = 4.0, kind = \"burst\", x = 2.0000 },\n]\n"},
		"a count": {trouble{Faults: []string{`count = DEGREE`}, To: 1000}, 0.1256, "plan = [\n]\nfaults = [\n  { count = 126 },\n]\n"},
		"pair": {pair(breaks, bursts), 0.5, "plan = [\n  { at = 5.0, kind = \"release\", share = 2.0000 },\n]\nfaults = [\n" +
			"  { at = 4.0, kind = \"garble\", x = 0.5000 },\n  { at = 4.0, kind = \"burst\", x = 2.0000 },\n]\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "day.toml")
			require.NoError(t, test.trouble.writeDay(path, 20, test.degree))
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			assert.Equal(t, "name = \"degrees\"\nlength_s = 20.0\n"+test.want, string(text))
		})
	}
}

// Guards against an hour of plays before a wrong name is noticed.
func TestWrongInputIsAnErrorBeforeAnyPlay(t *testing.T) {
	path := filepath.Join(t.TempDir(), "troubles.toml")
	require.NoError(t, os.WriteFile(path, []byte("[[trouble]]\nname = \"breaks\"\nfaults = ['kind = \"garble\"']\nto = 1.0\n"), 0o600))
	all, err := readTroubles(path, nil)
	require.NoError(t, err)
	assert.NoError(t, checkKinds(all, "burst: more\ngarble: break off\n"))
	assert.ErrorIs(t, checkKinds(all, "burst: more\n"), errNoKind)
	_, err = readTroubles(path, []string{"brakes"})
	assert.ErrorIs(t, err, errNoTrouble)
	_, err = readTroubles(path+"x", nil)
	assert.ErrorIs(t, err, os.ErrNotExist)
	for name, a := range map[string]arguments{
		"no bench": {Bench: path + "x", Site: []string{path}, Troubles: path, Jobs: 1, Seeds: []int64{1}},
		"no site":  {Bench: "/bin/true", Site: []string{path + "x"}, Troubles: path, Jobs: 1, Seeds: []int64{1}},
		"no kind":  {Bench: "/bin/true", Site: []string{path}, Troubles: path, Jobs: 1, Seeds: []int64{1}},
	} {
		_, err := prepare(a)
		assert.Error(t, err, name)
	}
}
