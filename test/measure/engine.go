package main

import (
	"container/list"
	"slices"
	"time"
)

// engine is a count of requests and a prefix cache.
type engine struct {
	hash     uint64
	down     bool
	leaving  bool
	inFlight int
	cache    *cache

	// area is the integral of inFlight over the current window, in request-seconds.
	area    float64
	changed time.Duration
	// reports holds the last counts, one a second, newest last: what a lagged
	// report reads.
	reports [4]int
}

func newEngine(hash uint64) *engine {
	return &engine{hash: hash, cache: newCache()}
}

func (e *engine) change(now time.Duration, by int) {
	e.settle(now)
	e.inFlight += by
}

func (e *engine) settle(now time.Duration) {
	e.area += float64(e.inFlight) * (now - e.changed).Seconds()
	e.changed = now
}

// cache is a least recently used cache of shared prefixes and chats' histories.
type cache struct {
	tokens  int
	entries map[uint64]*list.Element
	order   *list.List
}

type entry struct {
	key    uint64
	tokens int
}

func newCache() *cache {
	return &cache{entries: make(map[uint64]*list.Element), order: list.New()}
}

func (c *cache) clear() {
	*c = *newCache()
}

// use returns how many tokens of the chat's prompt are cached, and then holds
// its prefix and its history with the tokens that this turn adds.
func (c *cache) use(chat *chat, added int) int {
	cached := c.hold(chat.prefix, chat.prefixTokens, chat.prefixTokens)
	history := c.hold(chat.id, chat.history, chat.history+added)
	if cached > 0 {
		cached += history
	}
	c.evict()
	return cached
}

// hold returns the tokens cached for key, at most want, and makes them then.
func (c *cache) hold(key uint64, want, then int) int {
	had := 0
	if e, found := c.entries[key]; found {
		old := c.order.Remove(e).(entry)
		c.tokens -= old.tokens
		had = min(old.tokens, want)
	}
	c.entries[key] = c.order.PushFront(entry{key: key, tokens: then})
	c.tokens += then
	return had
}

func (c *cache) evict() {
	for c.tokens > cacheTokens {
		old := c.order.Remove(c.order.Back()).(entry)
		delete(c.entries, old.key)
		c.tokens -= old.tokens
	}
}

// figures gathers a run's measures.
type figures struct {
	prompt, cached   int
	requests         int
	diverted, passed int
	refused          int
	skews            []float64
	// first is the time to each request's first token, waited the queue's part.
	first, waited []float64
}

func (f *figures) count(w *world, r *request, cached int) {
	if w.now < warmUp {
		return
	}
	f.requests++
	if r.chat.turn > 0 {
		f.prompt += r.prompt()
		f.cached += cached
	}
	waited := (w.now - r.begun).Seconds()
	f.waited = append(f.waited, waited)
	f.first = append(f.first, waited+float64(r.prompt()-cached)/prefillRate)
}

// closeWindow notes the skew of the window that ends now, over the engines
// that were in the fleet throughout.
func (w *world) closeWindow() {
	sum, most, n := 0.0, 0.0, 0
	for _, e := range w.engines {
		e.settle(w.now)
		copy(e.reports[:], e.reports[1:])
		e.reports[len(e.reports)-1] = e.inFlight
		sum += e.area
		most = max(most, e.area)
		n++
		e.area = 0
	}
	if w.now > warmUp {
		w.figures.skews = append(w.figures.skews, most*float64(n)/sum)
	}
}

// report is an engine's count as a router knows it: up to reportLag old.
func (w *world) report(e *engine, router int) int {
	age := (int(e.hash>>8) + router) % int(reportLag/time.Second)
	return e.reports[len(e.reports)-1-age]
}

func (w *world) result() result {
	f := &w.figures
	slices.Sort(f.skews)
	slices.Sort(f.waited)
	slices.Sort(f.first)
	quantile := func(sorted []float64, q float64) float64 {
		return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
	}
	share := func(n int) float64 { return float64(n) / float64(f.requests+f.refused) }
	const milli = 1000
	return result{
		Policy: w.spec.policy, Bound: w.spec.bound, Engines: w.spec.engines, Routers: w.spec.routers, Seed: w.spec.seed,
		Reuse:   float64(f.cached) / float64(f.prompt),
		SkewP50: quantile(f.skews, 0.5), SkewP99: quantile(f.skews, 0.99),
		Control:  w.policy.controlBytes(),
		Diverted: share(f.diverted), PassedOn: share(f.passed), Refused: share(f.refused),
		WaitedP99: milli * quantile(f.waited, 0.99),
		FirstP50:  milli * quantile(f.first, 0.5),
		FirstP95:  milli * quantile(f.first, 0.95),
		Requests:  f.requests,
	}
}
