package main

import (
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/croftyard/croftyard/platform"
	"github.com/croftyard/croftyard/review/rig2"
)

// revoke is revoke_ms.
const revoke = 5 * time.Second

// tenant: the only tenant loses one of its two keys, and some seconds later it is taken out of the
// configuration with the other one. CONFIG: nothing runs that was sent later than revoke_ms after its key
// was taken away. Without the trouble the tenant stays, with its second key. TROUBLE=keys is for comparison:
// the tenant stays and loses the second key too.
func tenant(w *world) (bool, error) {
	const clients, before, between, after = 6, 3 * time.Second, 8 * time.Second, 8 * time.Second
	taken := make(map[string]time.Time)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(before)
		taken[rig2.Key] = w.store.Put(platform.ConfigKey, rig2.PlainConfig(4, []any{rig2.TenantWith(rig2.SecondKey)}))
		w.list("%s version 4 is acknowledged: the first key is taken away", taken[rig2.Key].Format(clock))
		time.Sleep(between)
		if w.trouble {
			tenants := []any{}
			if os.Getenv("TROUBLE") == "keys" {
				tenants = []any{rig2.TenantWith([]string{}...)}
			}
			taken[rig2.SecondKey] = w.store.Put(platform.ConfigKey, rig2.PlainConfig(9, tenants))
			w.list("%s version 9 is acknowledged: its tenants are %v, the second key is taken away", taken[rig2.SecondKey].Format(clock), tenants)
		}
	}()
	var both sync.WaitGroup
	var mu sync.Mutex
	var replies []rig2.Reply
	for _, key := range []string{rig2.Key, rig2.SecondKey} {
		both.Go(func() {
			got := w.send(clients, before+between+after, request{http.MethodPost, "/unsafe/", key})
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, got...)
		})
	}
	both.Wait()
	<-done
	w.sum(replies)
	runs := w.runs.ByAttempt()
	wrong := make(map[string]int)
	for _, r := range replies {
		at, gone := taken[r.Key]
		if gone && r.Sent.Sub(at) > revoke && len(runs[r.Attempt]) > 0 {
			wrong[r.Key]++
		}
	}
	for key, n := range wrong {
		w.note("CONFIG broken: %d requests ran that were sent later than %v after their key %s was taken away", n, revoke, key)
	}
	return len(wrong) > 0, nil
}
