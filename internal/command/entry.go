package command

import (
	"bytes"
	"errors"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/entry"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/kept"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/origin"
	"github.com/croftyard/croftyard/pkg/poison"
	"github.com/croftyard/croftyard/pkg/rollout"
	"github.com/croftyard/croftyard/platform"
)

// heapGrowth is how far the heap grows between two collections, in percent.
const heapGrowth = 25

// runEntry serves routes that lie in the platform's store until a signal.
func runEntry(path string, read settings.Settings, log *event.Log, sink *event.Sink, signals <-chan os.Signal) error {
	// The live heap is a few megabytes: collecting more often costs little time
	// and keeps the peak low.
	debug.SetGCPercent(heapGrowth)
	e, err := entry.Start(read, entry.Environment{
		Source: func(s settings.Settings, call time.Duration) watch.Source {
			return platform.NewStore(s.Platform.URL, s.Platform.Timeout, call)
		},
		StatusWriter: func(s settings.Settings, call time.Duration) rollout.Writer {
			return platform.NewStore(s.Platform.URL, s.Platform.Timeout, call)
		},
		ServedStore: func(s settings.Settings, call time.Duration) origin.Store {
			return kept.Served{Keys: platform.NewStore(s.Platform.URL, s.Platform.Timeout, call)}
		},
		HeldStore: func(s settings.Settings, call time.Duration) poison.Store {
			return kept.Held{Keys: platform.NewStore(s.Platform.URL, s.Platform.Timeout, call)}
		},
		Dialect:         platform.Dialect(),
		ReadyPath:       platform.ReadyPath,
		HeldParts:       platform.Held,
		LimitsAdmission: platform.LimitsAdmission,

		LogDropped: sink.Dropped,
	}, log)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		err = e.Wait()
		close(done)
	}()
	newWatch(path, log, e.Reload).run(signals, done, e.Stop, e.Kill)
	if errors.Is(err, entry.ErrCut) {
		return WithCode(err, ExitFailed)
	}
	return err
}

// settingsWatch reads a settings file again when it changed: at SIGHUP, or without any
// signal.
type settingsWatch struct {
	path   string
	log    *event.Log
	reload func(settings.Settings)
	text   []byte
}

// watchPeriod is the pause between two looks at the file.
const watchPeriod = 2 * time.Second

func newWatch(path string, log *event.Log, reload func(settings.Settings)) *settingsWatch {
	w := &settingsWatch{path: path, log: log, reload: reload}
	// What can't be read now is read when it changes.
	w.text, _ = os.ReadFile(path)
	return w
}

// run handles signals until done is closed: the first SIGTERM or SIGINT stops,
// the second kills.
func (w *settingsWatch) run(signals <-chan os.Signal, done <-chan struct{}, stop, kill func()) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	stopped := false
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			w.look(false)
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				w.look(true)
			case stopped:
				kill()
			default:
				stopped = true
				stop()
			}
		}
	}
}

// look reads the file and reloads if it changed or was said to have.
func (w *settingsWatch) look(asked bool) {
	text, err := os.ReadFile(w.path)
	if err != nil {
		if asked {
			w.log.Write(event.SettingsRejected, event.F("error", err))
		}
		return
	}
	if !asked && bytes.Equal(text, w.text) {
		return
	}
	w.text = text
	read, err := settings.Parse(w.path, text)
	if err != nil {
		w.log.Write(event.SettingsRejected, event.F("error", err))
		return
	}
	w.reload(read)
}
