// Package rig2 starts routers as separate processes before stand-ins of the users' platform, for the
// cases 4 and up.
package rig2

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/platform"
)

// Router is a place at which one router process after another serves.
type Router struct {
	Name      string
	Callers   string
	Readiness string
	Peers     string
	settings  string
	log       string
	cmd       *exec.Cmd
	ended     chan error
}

// settingsText is deploy/settings.ini, filled with the bounds of a small site.
const settingsText = `[instance]
name = %s
data_centre = %s
log_level = info
[listen]
callers = %s
readiness = %s
peers = %s
admin = %s
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

// FreeAddresses returns loopback addresses that nothing listens on.
func FreeAddresses(n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open, out = append(open, l), append(out, l.Addr().String())
	}
	return out, nil
}

// NewRouters returns routers in zones of their own, which are not started. folder takes settings and logs.
func NewRouters(n int, store, folder string) ([]*Router, error) {
	const each = 4
	free, err := FreeAddresses(each * n)
	if err != nil {
		return nil, err
	}
	var routers []*Router
	var seeds []string
	for i := range n {
		a := free[each*i : each*(i+1)]
		seeds = append(seeds, a[2])
		routers = append(routers, &Router{Name: fmt.Sprintf("edge-%d", i+1), Callers: a[0], Readiness: a[1], Peers: a[2]})
	}
	for i, r := range routers {
		r.settings, r.log = filepath.Join(folder, r.Name+".ini"), filepath.Join(folder, r.Name+".log")
		text := fmt.Sprintf(settingsText, r.Name, fmt.Sprintf("zone-%d", i+1), r.Callers, r.Readiness, r.Peers, free[each*i+3], store, strings.Join(seeds, ","), "first_start = true")
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return routers, nil
}

// Start starts a process with the command of the deploy file.
func (r *Router) Start() error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/croftyard", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "CROFTYARD_BOOT=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd, r.ended = cmd, make(chan error, 1)
	go func() { r.ended <- cmd.Wait() }()
	return nil
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

// Kill ends the process at once, if it runs.
func (r *Router) Kill() {
	if r.cmd != nil && r.cmd.Process != nil {
		r.Signal(syscall.SIGCONT)
		r.Signal(syscall.SIGKILL)
	}
}

// WaitEnd waits for the end of the process.
func (r *Router) WaitEnd(most time.Duration) (error, bool) {
	select {
	case err := <-r.ended:
		return err, true
	case <-time.After(most):
		return nil, false
	}
}

// Ready tells whether the router says that it is ready.
func (r *Router) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Readiness+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// WaitReady waits until all routers are ready.
func WaitReady(routers []*Router, most time.Duration) error {
	const pause = 50 * time.Millisecond
	end := time.Now().Add(most)
	for _, r := range routers {
		for !r.Ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", r.Name, most)
			}
			time.Sleep(pause)
		}
	}
	return nil
}
