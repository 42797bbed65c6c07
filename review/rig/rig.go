// Package rig runs routers of the project as separate processes, by the command and the settings
// of the deploy file, with small stand-ins of the platform's store, the replicas and the clients.
//
// Everything listens on loopback addresses, the routers and the replicas each on one of their own.
package rig

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Rig is one run of a case.
type Rig struct {
	// Root is the project's folder, Temp a folder for the settings and the logs of the routers.
	Root, Temp string
	Store      *Store

	mu      sync.Mutex
	record  *os.File
	started time.Time
	next    int
	routers []*Router
}

// New begins a run that writes what was sent, answered and run to a file.
func New(record string) (*Rig, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &Rig{Root: root, Temp: temp, record: file, started: time.Now(), next: 1}
	r.Store, err = StartStore(r.Address())
	return r, err
}

// Address returns a free address of its own host, 127.x.y.z.
func (r *Rig) Address() string { return FreePort(r.Host()) }

// Host returns a loopback host that nothing else of this run uses.
func (r *Rig) Host() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 100+pid>>8%100, pid%256, r.next)
	r.next++
	return host
}

// FreePort returns an address of a host at which nothing listens.
func FreePort(host string) string {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Log writes a line to the record.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%7.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes that the run started and removes its folder.
func (r *Rig) Close() {
	for _, router := range r.routers {
		router.Kill()
	}
	r.Store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(r.Temp, "*.log"))
		for _, log := range logs {
			if text, err := os.ReadFile(log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(log)), text, 0o600)
			}
		}
	}
	os.RemoveAll(r.Temp)
	r.record.Close()
}
