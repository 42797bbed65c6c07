package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/kvservice"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/kv"
)

// Platform is the stand-in of the platform's services.
type Platform struct {
	Store *kv.Memory

	mu   sync.Mutex
	list []fleet.Instance
	// listVersion counts the changes of the list.
	listVersion int
	down        bool
	writes      int
	reads       int
	// loseAnswers is how many writes take effect without an answer.
	loseAnswers int
}

// NewPlatform returns a platform with an empty store and list.
func NewPlatform() *Platform {
	return &Platform{Store: kv.NewMemory(time.Now)}
}

// Handler returns the platform's HTTP face.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", p.get)
	mux.HandleFunc("PUT /v1/kv/{key...}", p.put)
	mux.HandleFunc("POST /v1/leases", p.grant)
	mux.HandleFunc("POST /v1/leases/{id}", p.keepAlive)
	mux.HandleFunc("GET /v1/instances", p.instances)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.count(r.Method) {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (p *Platform) count(method string) (down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if method == http.MethodGet {
		p.reads++
	} else {
		p.writes++
	}
	return p.down
}

// SetDown starts or ends an outage: calls are answered with an error before
// they take effect.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// LoseAnswers makes the next n writes take effect without an answer.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseAnswers = n
}

func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loseAnswers == 0 {
		return false
	}
	p.loseAnswers--
	return true
}

// Calls returns how many writes and reads came in.
func (p *Platform) Calls() (writes, reads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes, p.reads
}

// Put sets an instance's row in the list.
func (p *Platform) Put(i fleet.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listVersion++
	at := slices.IndexFunc(p.list, func(other fleet.Instance) bool { return other.Name == i.Name })
	if at < 0 {
		p.list = append(p.list, i)
		return
	}
	p.list[at] = i
}

// Remove takes an instance off the list.
func (p *Platform) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listVersion++
	p.list = slices.DeleteFunc(p.list, func(i fleet.Instance) bool { return i.Name == name })
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	entry, err := p.Store.Get(r.Context(), key)
	if after := r.URL.Query().Get("after"); after != "" && err == nil {
		entry, err = p.watch(r, key, after)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if entry.Revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeEntry(w, entry.Revision, entry.Value)
}

func (p *Platform) watch(r *http.Request, key, after string) (kv.Entry, error) {
	revision, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return kv.Entry{}, err
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return kv.Entry{}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	entry, err := p.Store.Watch(ctx, key, revision)
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil
	}
	return entry, err
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	revision, err := strconv.ParseUint(r.Header.Get(kvservice.IfRevisionHeader), 10, 64)
	if err != nil {
		http.Error(w, "If-Revision must be a number", http.StatusBadRequest)
		return
	}
	lease := uint64(kv.NoLease)
	if text := r.Header.Get(kvservice.LeaseHeader); text != "" {
		lease, err = strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "Lease must be a number", http.StatusBadRequest)
			return
		}
	}
	next, err := p.Store.Swap(r.Context(), r.PathValue("key"), revision, value, kv.LeaseID(lease))
	if p.loseAnswer() {
		// Ends the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	switch {
	case errors.Is(err, kv.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, kv.ErrLease):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		writeEntry(w, next, nil)
	}
}

func writeEntry(w http.ResponseWriter, revision uint64, value []byte) {
	w.Header().Set(kvservice.RevisionHeader, strconv.FormatUint(revision, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	// A caller that left needs no answer.
	_, _ = w.Write(value)
}

func (p *Platform) grant(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(w, "ttl must be a duration", http.StatusBadRequest)
		return
	}
	lease, err := p.Store.Grant(r.Context(), ttl)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, kvservice.Granted{Lease: lease})
}

func (p *Platform) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		http.Error(w, "the lease must be a number", http.StatusBadRequest)
		return
	}
	if err := p.Store.KeepAlive(r.Context(), kv.LeaseID(id)); err != nil {
		w.WriteHeader(http.StatusGone)
	}
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	list := slices.Clone(p.list)
	tag := fmt.Sprintf("%q", strconv.Itoa(p.listVersion))
	p.mu.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that left needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
