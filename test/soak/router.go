package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// router is a place at which one process after another serves.
type router struct {
	name      string
	callers   string
	readiness string
	settings  string
	log       string
	// program is that of the next process, other one of another build.
	program, other string
	record         *recorder
	// handling is held while a fault that stops the process is under way.
	handling sync.Mutex
	// reading is held while the settings file is not whole, and while a process that starts
	// reads it.
	reading sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	life *Life
	// ready: the process was seen ready. One that starts does not expect signals yet.
	ready bool
	// asked: the process was told to end.
	asked bool
	ended chan struct{}
}

// start starts the next process.
func (r *router) start() error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	defer log.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	number := 1
	if r.life != nil {
		number = r.life.Number + 1
	}
	cmd := exec.Command(r.program, "serve", "--settings", r.settings)
	cmd.Stdout, cmd.Stderr = log, log
	r.life = &Life{Router: r.name, Number: number, Started: time.Now()}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	r.cmd, r.ready, r.asked, r.ended = cmd, false, false, make(chan struct{})
	r.record.lives(r.life)
	go r.wait(cmd, r.life, r.ended)
	return nil
}

// wait notes how a process ended.
func (r *router) wait(cmd *exec.Cmd, life *Life, ended chan struct{}) {
	err := cmd.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	life.Ended = time.Now()
	if !r.asked {
		r.record.problem("%s life %d ended by itself: %v, after: %s", r.name, life.Number, err, r.lastWords())
	}
	close(ended)
}

// lastWords is the last line that the processes of this place have written.
func (r *router) lastWords() string {
	text, err := os.ReadFile(r.log)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal. One that ends the process is noted before.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		r.asked, r.life.Term = true, time.Now()
	case syscall.SIGKILL:
		r.asked = true
	}
	// A process that has just ended takes no signal.
	if err := r.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		r.record.problem("%s: %s: %v", r.name, s, err)
	}
}

// current returns the life that serves now, and whether new connections go there.
func (r *router) current() (life *Life, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life, !r.asked
}

// end returns a channel that is closed when the process has ended.
func (r *router) end() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// hup tells a process that its settings changed.
func (r *router) hup() {
	r.mu.Lock()
	ready := r.ready
	r.mu.Unlock()
	if ready {
		r.signal(syscall.SIGHUP)
	}
}

// isReady notes that the process was seen ready.
func (r *router) isReady() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = true
}

// hasEnded tells whether the process has ended.
func (r *router) hasEnded() bool {
	select {
	case <-r.end():
		return true
	default:
		return false
	}
}

// awaitEnd waits for the process to end by itself within a time.
func (r *router) awaitEnd(limit time.Duration) bool {
	select {
	case <-r.end():
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once and waits for it.
func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	<-r.end()
}

// settingsText is a router's settings with the bounds of the users' sheet.
func settingsText(name, zone string, listen [listeners]string, store, seeds string, b Bounds, repeats int) string {
	return fmt.Sprintf(`[instance]
name = %s
data_centre = %s
[listen]
callers = %s
readiness = %s
peers = %s
admin = %s
[platform]
kind = store
url = http://%s
[peers]
seeds = %s
[bounds]
apply = %s
revoke = %s
drain = %s
grace = %s
repeat_allowance = %d
`, name, zone, listen[0], listen[1], listen[2], listen[3], store, seeds, b.Apply, b.Revoke, b.Drain, b.Grace, repeats)
}

// newerSettings are those that earlier builds refuse: admission control of plain services, and
// the bound on what a router holds for its callers.
const newerSettings = `[overload]
admission = on
[limits]
memory = 136
`

// zone is where all routers and replicas stand.
const zone = "north"

var program struct {
	once sync.Once
	path string
	err  error
}

// givenProgram names a program to judge instead of this checkout's: that of another
// commit, or one that is broken on purpose.
const givenProgram = "SOAK_PROGRAM"

// buildProgram builds the real program once.
func buildProgram(dir string) (string, error) {
	if given := os.Getenv(givenProgram); given != "" {
		return given, nil
	}
	program.once.Do(func() {
		program.path = filepath.Join(dir, "croftyard")
		args := append([]string{"build"}, buildFlags...)
		out, err := exec.Command("go", append(args, "-o", program.path, "github.com/croftyard/croftyard/cmd/croftyard")...).CombinedOutput()
		if err != nil {
			program.err = fmt.Errorf("soak: %w: %s", err, out)
		}
	})
	return program.path, program.err
}
