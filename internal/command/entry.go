package command

import (
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/croftyard/croftyard/internal/entry"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/platform"
)

// runEntry serves routes that lie in the platform's store until a signal.
func runEntry(read settings.Settings, log *event.Log, signals <-chan os.Signal, out io.Writer) error {
	at, err := url.Parse(read.Platform.URL)
	if err != nil {
		return usageError{err}
	}
	e, err := entry.Start(read, entry.Outside{
		Source:    platform.NewStore(at.Host, read.Platform.Timeout),
		Dialect:   platform.Dialect(),
		ReadyPath: platform.ReadyPath,
	}, log)
	if err != nil {
		return err
	}
	callers, readiness := e.Addresses()
	fmt.Fprintf(out, "router %s: callers %s, readiness %s\n", read.Name, callers, readiness)
	go func() {
		<-signals
		e.Stop()
		<-signals
		e.Kill()
	}()
	err = e.Wait()
	if errors.Is(err, entry.ErrCut) {
		return WithCode(err, ExitFailed)
	}
	return err
}
