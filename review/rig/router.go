package rig

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/platform"
)

// Router is a place at which one process of the project after another serves.
type Router struct {
	Name, Front, Readiness, Control string

	rig      *Rig
	settings string
	log      string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
}

// The ports of a router, alike on all machines but for those that are not free there.
const metricsPort = "9464"

// Routers prepares n routers, which know the first three by their settings.
func (r *Rig) Routers(n int) []*Router {
	var seeds []string
	for i := range n {
		host := r.Host()
		router := &Router{
			Name: fmt.Sprintf("edge-leeds-hall-%d", i+1), rig: r,
			Front: FreePort(host), Readiness: FreePort(host), Control: FreePort(host),
			settings: filepath.Join(r.Temp, fmt.Sprintf("%d.ini", i+1)), log: filepath.Join(r.Temp, fmt.Sprintf("%d.log", i+1)),
		}
		r.routers = append(r.routers, router)
		if i < 3 {
			seeds = append(seeds, router.Control)
		}
	}
	for _, router := range r.routers {
		host, _, _ := net.SplitHostPort(router.Front)
		text := fmt.Sprintf(settings, router.Name, router.Front, router.Readiness, router.Control, host, metricsPort, r.Store.Addr, strings.Join(seeds, ","), "first_start = true\n")
		if err := os.WriteFile(router.settings, []byte(text), 0o600); err != nil {
			panic(err)
		}
	}
	return r.routers
}

// settings is deploy/settings.ini, filled for a machine of hrs-croftyard.
const settings = `[instance]
name = %s
data_centre = leeds-hall
log_level = info

[listen]
callers = %s
readiness = %s
peers = %s
admin = %s:%s

[platform]
kind = store
url = http://%s
contracts = base,drain,config,cost,retry,recover,engine,stream,tenants,platform

[overload]
admission = auto

[peers]
seeds = %s

[limits]
memory = 284

[routes]
%s
[bounds]
heartbeat = 1200ms
apply = 2000ms
revoke = 5000ms
drain = 2000ms
load_factor = 2
grace = 8s
repeat_ratio = 0.2
repeat_allowance = 52
repeat_window = 10s
`

// Start starts a process, as the deploy file says.
func (r *Router) Start() error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	cmd := exec.Command(filepath.Join(r.rig.Root, "target", "croftyard"), "serve")
	cmd.Dir = r.rig.Root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROFTYARD_BOOT=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// No process outlives the one that started it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.cmd, r.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		r.rig.Log("%s (process %d) has ended: %s", r.Name, cmd.Process.Pid, cmd.ProcessState)
		close(ended)
	}()
	r.rig.Log("%s started, process %d", r.Name, cmd.Process.Pid)
	return nil
}

// Signal sends the process a signal.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rig.Log("%s gets %s", r.Name, s)
	_ = r.cmd.Process.Signal(s)
}

// Ended returns a channel that is closed when the process has ended.
func (r *Router) Ended() <-chan struct{} { return r.ended }

// Kill ends the process, if it runs.
func (r *Router) Kill() {
	if r.cmd == nil {
		return
	}
	_ = r.cmd.Process.Kill()
	<-r.ended
}

// IsReady asks the router as the platform does.
func (r *Router) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	answer, err := client.Get("http://" + r.Readiness + platform.ReadyPath)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// ErrNotReady means that routers did not become ready.
var ErrNotReady = errors.New("rig: routers not ready in time")

// AwaitReady waits until all routers are ready.
func (r *Rig) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, router := range r.routers {
		for !router.IsReady() {
			if time.Now().After(end) {
				return ErrNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.Log("all routers are ready")
	return nil
}

// leadTime is how long after the machines the traffic starts.
const leadTime = 10 * time.Second

// StartRouters starts n routers, and waits until all are ready and the traffic may start.
func (r *Rig) StartRouters(n int) ([]*Router, error) {
	for _, router := range r.Routers(n) {
		if err := router.Start(); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	if err := r.AwaitReady(leadTime); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(started.Add(leadTime)))
	return r.routers, nil
}
