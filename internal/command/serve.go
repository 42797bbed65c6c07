package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/instance"
	"github.com/croftyard/croftyard/internal/settings"
)

// Bounds of the log.
const (
	// logRoom is how many lines may wait for standard output to take them.
	logRoom = 4096
	// logLines is how many lines of one event are written in a second.
	logLines = 200
	// logFlush bounds the writing of what waits at the end.
	logFlush = time.Second
)

type serve struct {
	Settings string `required:"" type:"path" env:"CROFTYARD_BOOT" help:"The settings file."`
}

// Run implements the command. It ends after SIGTERM or SIGINT once everything
// in flight is finished; a second signal ends it at once.
func (c *serve) Run(s *streams) error {
	read, err := settings.Read(c.Settings)
	if err != nil {
		return usageError{err}
	}
	sink := event.NewSink(logOutput(read, s), logRoom)
	defer sink.Close(logFlush)
	log := event.NewBounded(sink, read.Name, read.LogLevel, logLines)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	if read.Platform.Kind == settings.PlatformStore {
		err = runEntry(c.Settings, read, log, sink, signals)
	} else {
		err = runInstance(read, log, signals, s.out)
	}
	if err != nil {
		log.Write(event.Failed, event.F("error", err))
	}
	return err
}

// logOutput is standard output for a router of routes. A router of chats says on
// standard output where it listens, and logs to standard error.
func logOutput(read settings.Settings, s *streams) io.Writer {
	if read.Platform.Kind == settings.PlatformStore {
		return s.out
	}
	return s.err
}

func runInstance(read settings.Settings, log *event.Log, signals <-chan os.Signal, out io.Writer) error {
	i, err := instance.Start(read, log)
	if err != nil {
		return err
	}
	a := i.Addresses()
	fmt.Fprintf(out, "router %s: callers %s, peers %s, admin %s\n", read.Name, a.Callers, a.Peers, a.Admin)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-stopSignal(ctx, signals):
		case <-i.DrainAsked():
		case <-ctx.Done():
			return
		}
		i.Stop()
		<-stopSignal(ctx, signals)
		i.Kill()
	}()
	err = i.Wait()
	if errors.Is(err, instance.ErrCut) {
		return WithCode(err, ExitFailed)
	}
	return err
}

// stopSignal passes on one signal that means to stop. A SIGHUP means that the
// settings changed; a router of chats reads them at its start only.
func stopSignal(ctx context.Context, signals <-chan os.Signal) <-chan os.Signal {
	stop := make(chan os.Signal, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-signals:
				if s != syscall.SIGHUP {
					stop <- s
					return
				}
			}
		}
	}()
	return stop
}
