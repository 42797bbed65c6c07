package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// listeners is how many addresses a router listens on.
const listeners = 4

// router is a place at which one process after another serves.
type router struct {
	fleet       *fleet
	name        string
	listen      [listeners]string
	storeServer *standin.Server
	reads       atomic.Int64
	writes      atomic.Int64

	command *exec.Cmd
	// ended is closed when the process has, expected is set before it is told to end.
	ended      chan struct{}
	expected   atomic.Bool
	unexpected atomic.Bool
}

// counted counts the calls of a router.
func (r *router) counted(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodGet {
			r.reads.Add(1)
		} else {
			r.writes.Add(1)
		}
		store.ServeHTTP(w, request)
	})
}

func (r *router) callers() string { return r.listen[0] }

// start starts the next process.
func (r *router) start(first bool) error {
	seeds := ""
	for i, seed := range r.fleet.routers[:min(r.fleet.size, 3)] {
		if i > 0 {
			seeds += ","
		}
		seeds += seed.listen[2]
	}
	text := fmt.Sprintf("[instance]\nname = %s\ndata_centre = %s\n[listen]\ncallers = %s\nreadiness = %s\npeers = %s\nadmin = %s\n"+
		"[platform]\nkind = store\nurl = http://%s\n[peers]\nseeds = %s\n[routes]\nfirst_start = %t\n[bounds]\nheartbeat = %s\ngrace = %s\n",
		r.name, zone, r.listen[0], r.listen[1], r.listen[2], r.listen[3], r.storeServer.Address, seeds, first, heartbeat, graceTime)
	settings := filepath.Join(r.fleet.folder, r.name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(r.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	program := r.fleet.next
	if first {
		program = r.fleet.first
	}
	command := exec.Command(program, "serve", "--settings", settings)
	command.Stdout, command.Stderr = log, log
	// An interrupt at the terminal is for the rig, which ends the routers of the cases under way.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := startAlone(command); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.command, r.ended = command, ended
	r.expected.Store(false)
	go func() {
		// How it ended is in its log.
		_ = command.Wait()
		if !r.expected.Load() {
			r.unexpected.Store(true)
		}
		close(ended)
	}()
	return nil
}

// startAlone starts a process while no addresses are looked for: a process holds the listeners of
// the one that started it until it runs its own program, and their addresses stay in use.
func startAlone(command *exec.Cmd) error {
	given.Lock()
	defer given.Unlock()
	return command.Start()
}

func (r *router) logPath() string { return filepath.Join(r.fleet.folder, r.name+".log") }

// lastLine is the last line that the processes of this place have written.
func (r *router) lastLine() string {
	text, err := os.ReadFile(r.logPath())
	if err != nil {
		return err.Error()
	}
	const most = 300
	return string(text[max(len(text)-most, 0):])
}

// signal sends a signal; one that ends the process is noted before.
func (r *router) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		r.expected.Store(true)
	}
	// A process that has just ended takes no signal.
	_ = r.command.Process.Signal(s)
}

// kill ends the process if there is one, and waits for it.
func (r *router) kill() {
	if r.command == nil {
		return
	}
	r.signal(syscall.SIGKILL)
	<-r.ended
}

// awaitReady waits until the router says that it is ready.
func (r *router) awaitReady() error {
	const poll = 5 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	for ctx.Err() == nil {
		select {
		case <-r.ended:
			return fmt.Errorf("%w: %s: %s", errEnded, r.name, r.lastLine())
		case <-time.After(poll):
		}
		if r.ready(ctx) {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, r.name)
}

// ready reports whether the router says that it is ready.
func (r *router) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.listen[1]+platform.ReadyPath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := r.fleet.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
