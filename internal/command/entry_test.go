package command

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/settings"
)

const goodSettings = "[instance]\nname = r1\ndata_centre = north\n[platform]\nkind = store\nurl = http://127.0.0.1:9\n"

// A SIGHUP once ended the process with all it had in flight (finding 1).
func TestSettingsChangeByHangUpOrWithoutAnySignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.ini")
	require.NoError(t, os.WriteFile(path, []byte(goodSettings), 0o600))
	log := event.Discard()
	var read []settings.Settings
	w := newWatch(path, log, func(s settings.Settings) { read = append(read, s) })

	w.look(false)
	assert.Empty(t, read, "nothing changed")
	w.look(true)
	assert.Len(t, read, 1, "asked for")

	require.NoError(t, os.WriteFile(path, []byte(goodSettings+"[bounds]\ngrace = 3s\n"), 0o600))
	w.look(false)
	require.Len(t, read, 2, "changed without a signal")
	assert.Equal(t, "3s", read[1].Bounds.Grace.String())

	require.NoError(t, os.WriteFile(path, []byte(goodSettings+"[bounds]\ngrace = never\n"), 0o600))
	w.look(true)
	assert.Len(t, read, 2, "a bad file changes nothing")
	assert.EqualValues(t, 1, log.Count(event.SettingsRejected))
}

func TestSignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.ini")
	require.NoError(t, os.WriteFile(path, []byte(goodSettings), 0o600))
	var calls []string
	done := make(chan struct{})
	w := newWatch(path, event.Discard(), func(settings.Settings) { calls = append(calls, "reload") })
	signals := make(chan os.Signal)
	go func() {
		for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
			signals <- s
		}
		close(done)
	}()
	w.run(signals, done, func() { calls = append(calls, "stop") }, func() { calls = append(calls, "kill") })
	assert.Equal(t, []string{"reload", "stop", "reload", "kill"}, calls)
}
