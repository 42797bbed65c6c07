package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const good = "[instance]\nname = r1\ndata_centre = north\n[platform]\nurl = http://127.0.0.1:9/\n"

func TestParse(t *testing.T) {
	s, err := Parse("r.ini", []byte(good+"poll = 3s\n[limits]\nslots = 7\n"))
	require.NoError(t, err)
	assert.Equal(t, "r1", s.Name)
	assert.Equal(t, "http://127.0.0.1:9", s.Platform.URL)
	assert.Equal(t, 3*time.Second, s.Platform.Poll)
	assert.Equal(t, 7, s.Limits.Slots)
	assert.Equal(t, Default().Limits.Body, s.Limits.Body)
}

func TestParseNamesEveryError(t *testing.T) {
	bad := "[instance]\nname = two words\n[listen]\ncallers = here:80\npeers = 127.0.0.1:99999\n[limits]\nslots = 0\nslot = 1\nidle = soon\n[other]\n"
	_, err := Parse("r.ini", []byte(bad))
	require.ErrorIs(t, err, ErrInvalid)
	for _, part := range []string{
		`r.ini: [instance] name = "two words"`, `[instance] data_centre = ""`, `[listen] callers = "here:80"`,
		`[listen] peers = "127.0.0.1:99999"`, `[platform] url = ""`, `[limits] slots = "0": must be a whole number from 1 to 65536`,
		`[limits] slot = "1": no such key`, `[limits] idle = "soon"`, `[other]: no such section`,
	} {
		assert.ErrorContains(t, err, part)
	}
}

func TestBoundsOfTheUsersAreChecked(t *testing.T) {
	s, err := Parse("r.ini", []byte(good+"[bounds]\ndrain = 1600ms\nload_factor = 1.8\nevacuate = 3s\ncold_overage = 1\n"))
	require.NoError(t, err)
	assert.Equal(t, 1600*time.Millisecond, s.Bounds.Drain)
	assert.InDelta(t, 1.8, s.Bounds.LoadFactor, 0)
	assert.Equal(t, 3*time.Second, s.Bounds.Evacuate)
	assert.InDelta(t, 1, s.Bounds.ColdOverage, 0)
	assert.InDelta(t, 5, s.Bounds.ColdAllowance, 0, "the default")
	for _, bad := range []string{"load_factor = 0.9", "load_factor = two", "drain = soon", "drain = 0s", "evacuate = 0s", "evacuate = never", "cold_overage = -1", "cold_allowance = 0", "repeat_ratio = 1.1", "repeat_ratio = -1", "repeat_allowance = 0.5", "repeat_window = 0s"} {
		_, err := Parse("r.ini", []byte(good+"[bounds]\n"+bad+"\n"))
		require.ErrorIs(t, err, ErrInvalid, bad)
		assert.ErrorContains(t, err, "[bounds] "+bad[:5], bad)
	}
}

// Guards against a limit where the settings name none, and against one that is not a quarter
// of the memory that they name.
func TestHeldBytes(t *testing.T) {
	for limits, want := range map[string]int64{
		"": 0, "memory = 136": 34 << 20, "memory = 0": 64 << 20, "held_bytes = 1000000": 1e6, "memory = 136\nheld_bytes = 1000000": 1e6,
	} {
		s, err := Parse("r.ini", []byte(good+"[limits]\n"+limits+"\n"))
		require.NoError(t, err)
		assert.Equal(t, want, s.Limits.HeldBytes, limits)
	}
	_, err := Parse("r.ini", []byte(good+"[limits]\nmemory = -1\n"))
	assert.ErrorContains(t, err, "[limits] memory")
}

func TestRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.ini")
	require.NoError(t, os.WriteFile(path, []byte(good), 0o600))
	_, err := Read(path)
	require.NoError(t, err)
	_, err = Read(path + ".absent")
	assert.ErrorIs(t, err, ErrInvalid)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("[limits]\nslots = 1e9\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		if err != nil {
			assert.ErrorIs(t, err, ErrInvalid)
			return
		}
		assert.NotEmpty(t, s.Name)
		assert.Positive(t, s.Limits.Slots)
	})
}
