package standin

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/croftyard/croftyard/platform"
)

// storePage is how many items the store answers at a time; the users' store has
// some 500. It is small so that pages are turned with few replicas.
const storePage = 5

// Store is the stand-in of the store on the users' platform, as the operator, the
// replicas and the routers see it.
type Store struct {
	mu       sync.Mutex
	items    map[string]platform.Item
	revision uint64
	// changes are all since the revision forgotten.
	changes   []platform.Change
	forgotten uint64
	// era counts the copies that it came back from; tells is what its answers say of it.
	era     int
	tells   func(era int) string
	faults  StoreFaults
	refused map[string]int
	calls   int
}

// StoreFaults are what befalls all calls of routers. The operator's and the
// replicas' writes are not struck.
type StoreFaults struct {
	// Status is the answer to all calls; 0: none.
	Status int
	// Slow is how long an answer waits that was read at once.
	Slow time.Duration
	// Silent keeps calls waiting until they are given up.
	Silent bool
	// LoseAnswers closes the connection instead of answering.
	LoseAnswers bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]platform.Item), refused: make(map[string]int), tells: strconv.Itoa}
}

// Copy is what the store held at a moment.
type Copy struct {
	items    map[string]platform.Item
	revision uint64
}

// Copy copies the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.items), s.revision}
}

// Has tells whether a copy holds a key.
func (c Copy) Has(key string) bool {
	_, has := c.items[key]
	return has
}

// Return has the store come back from a copy: what was written since is gone, and its
// revisions are given out again. Of the changes before, it tells those that the copy has.
// What it held until then is returned.
func (s *Store) Return(c Copy) (before Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = Copy{s.items, s.revision}
	s.items, s.revision = maps.Clone(c.items), c.revision
	s.changes = slices.DeleteFunc(s.changes, func(change platform.Change) bool { return change.Revision > c.revision })
	s.era++
	return before
}

// WriteAgain writes an item as its writer knows it, who learns that the store came back from
// a copy: what a key held before, unless it was written or taken away since. It does
// nothing to keys that the copy has as they were.
func (s *Store) WriteAgain(key string, before, copied Copy) {
	s.mu.Lock()
	since := slices.ContainsFunc(s.changes, func(c platform.Change) bool { return c.Key == key && c.Revision > copied.revision })
	s.mu.Unlock()
	known, was := before.items[key]
	old, has := copied.items[key]
	switch {
	case since || was == has && bytes.Equal(known.Value, old.Value):
	case was:
		s.Put(key, json.RawMessage(known.Value))
	default:
		s.Remove(key)
	}
}

// Differing returns the keys that two copies hold differently.
func Differing(a, b Copy) []string {
	var keys []string
	for key := range a.items {
		if other, has := b.items[key]; !has || !bytes.Equal(other.Value, a.items[key].Value) {
			keys = append(keys, key)
		}
	}
	for key := range b.items {
		if _, has := a.items[key]; !has {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// TellEra changes what answers say of the era.
func (s *Store) TellEra(tells func(era int) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tells = tells
}

func (s *Store) eraNow() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tells(s.era)
}

// Put writes a value as JSON and returns when it was acknowledged: whatever is read
// later holds it.
func (s *Store) Put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, text, 0)
	return time.Now()
}

// put writes a value at the present revision.
func (s *Store) put(key string, value []byte, lease uint64) {
	made := s.revision
	if old, known := s.items[key]; known {
		made = old.Made
	}
	item := platform.Item{Key: key, Value: value, Revision: s.revision, Made: made, Lease: lease}
	s.items[key] = item
	s.changes = append(s.changes, platform.Change{Item: item})
}

// Remove takes a key away and returns when that was acknowledged.
func (s *Store) Remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	return time.Now()
}

// remove takes a key away at the present revision.
func (s *Store) remove(key string) {
	delete(s.items, key)
	s.changes = append(s.changes, platform.Change{Item: platform.Item{Key: key, Revision: s.revision}, Gone: true})
}

// Forget makes the store forget which changes there were.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.forgotten = nil, s.revision
}

// Set changes the faults. A silent store goes on to be silent to calls that wait.
func (s *Store) Set(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Refuse turns one router away with a status; 0 takes it in again.
func (s *Store) Refuse(router string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[router] = status
}

// Calls returns how many calls came.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns the store's face to one router.
func (s *Store) Handler(router string) http.Handler {
	reads := platform.StoreHandler(s.eraNow, s.list, s.changed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults, refused := s.called(router)
		switch {
		case faults.Silent:
			<-r.Context().Done()
		case refused != 0:
			w.WriteHeader(refused)
		case faults.Status != 0:
			w.WriteHeader(faults.Status)
		case faults.LoseAnswers:
			panic(http.ErrAbortHandler)
		case r.URL.Path == platform.WritePath:
			s.write(&delayed{ResponseWriter: w, request: r, delay: faults.Slow}, r)
		default:
			reads.ServeHTTP(&delayed{ResponseWriter: w, request: r, delay: faults.Slow}, r)
		}
	})
}

func (s *Store) called(router string) (StoreFaults, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.faults, s.refused[router]
}

// list returns one page of items in the order of their keys.
func (s *Store) list(prefix, after string) platform.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []platform.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b platform.Item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > storePage
	return platform.Page{Items: items[:min(len(items), storePage)], More: more, At: s.revision}
}

// changed returns the first changes since a revision, as many as a page has items.
func (s *Store) changed(since uint64) (platform.Changes, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since < s.forgotten || since > s.revision {
		return platform.Changes{}, false
	}
	answer := platform.Changes{At: s.revision}
	for _, c := range s.changes {
		if c.Revision <= since {
			continue
		}
		if len(answer.Events) == storePage {
			answer.At = answer.Events[storePage-1].Revision
			break
		}
		answer.Events = append(answer.Events, c)
	}
	return answer, true
}

// delayed holds back an answer that is already made: it is true and late.
type delayed struct {
	http.ResponseWriter
	request *http.Request
	delay   time.Duration
}

func (d *delayed) Write(b []byte) (int, error) {
	timer := time.NewTimer(d.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.request.Context().Done():
	}
	return d.ResponseWriter.Write(b)
}
