// Command cases2 plays the cases 4 and up: cases2 NAME. TROUBLE=0 leaves the disruption out. It exits with
// 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/platform"
	"github.com/croftyard/croftyard/review/rig2"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	cannot   = 2
	replicas = 3
	routers  = 3
	work     = 60 * time.Millisecond
)

var cases = map[string]func(*world) (bool, error){
	"unmarked": unmarked,
	"tenant":   tenant,
	"silent":   silent,
	"twice":    twice,
	"moved":    moved,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 moved|twice|silent|unmarked|tenant")
		os.Exit(cannot)
	}
	os.Exit(play(cases[os.Args[1]]))
}

// world is a small deployment: a store, replicas of a plain service and routers.
type world struct {
	trouble  bool
	folder   string
	store    *rig2.Store
	replicas []*rig2.Replica
	routers  []*rig2.Router
	runs     rig2.Runs

	mu     sync.Mutex
	record *os.File
}

func play(one func(*world) (bool, error)) (code int) {
	w := &world{trouble: os.Getenv("TROUBLE") != "0"}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		if err := w.start(); err != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", err)
			result <- cannot
			return
		}
		wrong, err := one(w)
		switch {
		case err != nil:
			w.note("the case could not run: %v", err)
			result <- cannot
		case wrong:
			w.note("BROKEN")
			result <- broken
		default:
			w.note("HELD")
			result <- held
		}
	}()
	select {
	case code = <-result:
	case <-interrupted:
		code = cannot
	case <-time.After(100 * time.Second):
		fmt.Fprintln(os.Stderr, "the case took too long")
		code = cannot
	}
	return code
}

// note writes a line to the record and to standard output.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf(format, values...)
	fmt.Println(line)
	if w.record != nil {
		fmt.Fprintln(w.record, line)
	}
}

// list writes a line to the record only.
func (w *world) list(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, format+"\n", values...)
}

func (w *world) start() error {
	var err error
	if w.record, err = os.Create(filepath.Join(os.Getenv("CASE_FOLDER"), "record.txt")); err != nil {
		return err
	}
	if w.folder, err = os.MkdirTemp("", "croftyard-case"); err != nil {
		return err
	}
	if w.store, err = rig2.StartStore(rig2.PlainConfig(1, []any{rig2.TenantWith(rig2.Key, rig2.SecondKey)})); err != nil {
		return err
	}
	for i := range replicas {
		r, err := rig2.StartReplica(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("zone-%d", i+1), work, &w.runs, w.store)
		if err != nil {
			return err
		}
		w.replicas = append(w.replicas, r)
	}
	go w.beat()
	if w.routers, err = rig2.NewRouters(routers, w.store.Address, w.folder); err != nil {
		return err
	}
	for _, r := range w.routers {
		if err := r.Start(); err != nil {
			return err
		}
	}
	const most = 10 * time.Second
	return rig2.WaitReady(w.routers, most)
}

// beat rewrites the replicas' entries, as replicas do.
func (w *world) beat() {
	const heartbeat = 1200 * time.Millisecond
	for n := uint64(2); ; n++ {
		time.Sleep(heartbeat)
		for _, r := range w.replicas {
			w.store.Put(platform.ReplicaKey(r.ID), r.Entry(n))
		}
	}
}

func (w *world) close() {
	for _, r := range w.routers {
		r.Kill()
	}
	for _, r := range w.replicas {
		r.Close()
	}
	if w.store != nil {
		w.store.Close()
	}
	if w.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
	if w.record != nil {
		w.record.Close()
	}
}
