package admission

import (
	"cmp"
	"slices"
	"time"
)

// Item is a queued request.
type Item[T any] struct {
	// Flow names the owner of the share, a research group. Share is its weight.
	Flow  string
	Share float64
	// Priority orders items within a flow, larger first.
	Priority int
	// Deadline is when the answer becomes useless, ServiceTime how long serving takes.
	Deadline    time.Time
	ServiceTime time.Duration
	// Work is the estimated work in tokens.
	Work float64
	// Payload belongs to the caller.
	Payload T

	number uint64
}

// Queue orders waiting requests. It is not safe for concurrent use.
//
// It implements start-time fair queueing: each flow has a virtual time that advances
// by work / share whenever one of its requests is dispatched, and the flow that is
// furthest behind goes first. A flow that was idle starts at the virtual time of the
// one in service, so that idling earns no credit.
//
// Alternatives (docs/design/admission.md): in a single queue by deadline, a surging
// group with short deadlines starves the rest; the CoDel of "Forze Resilience"
// bounds the time in queue but ignores shares. Here deadlines already bound that
// time, at arrival and again at each Next.
type Queue[T any] struct {
	limit       int
	length      int
	virtualTime float64
	nextNumber  uint64
	flows       map[string]*flow[T]
	// active holds the flows with items, in no order; there are few, so they are scanned.
	active []*flow[T]
}

type flow[T any] struct {
	name         string
	share        float64
	virtualStart float64
	work         float64
	// waitingSince is when the flow last became non-empty, served the rate of its work
	// that was dispatched.
	waitingSince time.Time
	served       Meter
	// items are sorted by priority, highest first, then by arrival.
	items []*Item[T]
}

// NewQueue returns a queue that holds at most limit items.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, flows: make(map[string]*flow[T])}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.length }

// Work returns the total work of the waiting items.
func (q *Queue[T]) Work() float64 {
	sum := 0.0
	for _, f := range q.active {
		sum += f.work
	}
	return sum
}

// EstimateWait estimates how long a new item of this flow would wait if work is served
// at rate, in work tokens a second: the time for the flow's own backlog at its share of
// the rate, or for everything that waits, whichever is shorter. A flow that has waited
// longer than meterTime uses the rate at which it was served instead, because flows that
// never queue also take capacity and no sum over the waiting flows includes them.
func (q *Queue[T]) EstimateWait(name string, share, rate float64, now time.Time) time.Duration {
	if q.length == 0 || rate <= 0 {
		return 0
	}
	shares, own := share, 0.0
	for _, f := range q.active {
		if f.name != name {
			shares += f.share
			continue
		}
		own = f.work
		if now.Sub(f.waitingSince) > meterTime {
			return seconds(own / max(f.served.Rate(now), 1))
		}
	}
	return seconds(min(own*shares/share, q.Work()) / rate)
}

func seconds(s float64) time.Duration {
	const longest = float64(24 * time.Hour)
	return time.Duration(min(s*float64(time.Second), longest))
}

// Push adds an item. It returns nil or a refusal, and the item that it displaced, if
// any: a full queue drops from the flow that is furthest above its share of the
// places, which may be the new item's own flow or another.
func (q *Queue[T]) Push(item *Item[T], now time.Time, rate float64) (*Refusal, *Item[T]) {
	wait := q.EstimateWait(item.Flow, item.Share, rate, now)
	if now.Add(wait + item.ServiceTime).After(item.Deadline) {
		return Refuse(DeadlineMiss, wait, "the deadline cannot be met"), nil
	}
	var displaced *Item[T]
	if q.length >= q.limit {
		displaced = q.displace(item)
		if displaced == nil {
			return Refuse(QueueFull, wait, "the queue is full"), nil
		}
	}
	item.number = q.nextNumber
	q.nextNumber++
	q.flowFor(item, now).insert(item)
	q.length++
	return nil, displaced
}

// displace removes and returns the last item of the flow with the most places for its
// share, or returns nil if the new item is the one to refuse.
func (q *Queue[T]) displace(incoming *Item[T]) *Item[T] {
	occupancy := func(f *flow[T]) float64 { return float64(len(f.items)) / f.share }
	worst := slices.MaxFunc(q.active, func(a, b *flow[T]) int { return cmp.Compare(occupancy(a), occupancy(b)) })
	own := 1 / incoming.Share
	if f := q.flows[incoming.Flow]; f != nil {
		own = float64(len(f.items)+1) / f.share
	}
	last := worst.items[len(worst.items)-1]
	if worst.name == incoming.Flow && last.Priority >= incoming.Priority {
		return nil
	}
	if worst.name != incoming.Flow && occupancy(worst) <= own {
		return nil
	}
	q.remove(worst, len(worst.items)-1)
	return last
}

func (q *Queue[T]) flowFor(item *Item[T], now time.Time) *flow[T] {
	f := q.flows[item.Flow]
	if f == nil {
		f = &flow[T]{name: item.Flow}
		q.flows[item.Flow] = f
	}
	f.share = item.Share
	if len(f.items) == 0 {
		f.virtualStart = max(f.virtualStart, q.virtualTime)
		f.waitingSince = now
		q.active = append(q.active, f)
	}
	return f
}

func (f *flow[T]) insert(item *Item[T]) {
	at, _ := slices.BinarySearchFunc(f.items, item, func(a, b *Item[T]) int {
		if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.number, b.number)
	})
	f.items = slices.Insert(f.items, at, item)
	f.work += item.Work
}

func (q *Queue[T]) remove(f *flow[T], at int) {
	f.work -= f.items[at].Work
	f.items = slices.Delete(f.items, at, at+1)
	q.length--
	if len(f.items) > 0 {
		return
	}
	f.work = 0
	q.active = slices.DeleteFunc(q.active, func(other *flow[T]) bool { return other == f })
	if f.virtualStart <= q.virtualTime {
		delete(q.flows, f.name)
	}
}

// maxOffered bounds how many items of one flow Next offers, so that a flow whose items
// all wait for a busy engine costs little.
const maxOffered = 16

// Next offers items in fair order until take accepts one, which it removes and returns,
// or nil if take accepts none. take must not change the queue.
func (q *Queue[T]) Next(now time.Time, take func(*Item[T]) bool) *Item[T] {
	if len(q.active) > 1 {
		slices.SortFunc(q.active, func(a, b *flow[T]) int {
			if c := cmp.Compare(a.virtualStart, b.virtualStart); c != 0 {
				return c
			}
			return cmp.Compare(a.items[0].number, b.items[0].number)
		})
	}
	for _, f := range q.active {
		for at, item := range f.items {
			if at == maxOffered {
				break
			}
			if take(item) {
				q.advance(f, item)
				f.served.Add(now, item.Work)
				q.remove(f, at)
				return item
			}
		}
	}
	return nil
}

func (q *Queue[T]) advance(f *flow[T], item *Item[T]) {
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	f.virtualStart += item.Work / item.Share
}

// Charge counts work of a flow that was dispatched without queueing, so that a group
// that was just served does not start level with the others when a queue forms.
func (q *Queue[T]) Charge(name string, work, share float64) {
	if q.length == 0 {
		return
	}
	f := q.flows[name]
	if f == nil {
		f = &flow[T]{name: name, share: share, virtualStart: q.virtualTime}
		q.flows[name] = f
	}
	f.virtualStart += work / share
}

// Drain removes and returns all items, in fair order of flows.
func (q *Queue[T]) Drain(now time.Time) []*Item[T] {
	var out []*Item[T]
	for q.length > 0 {
		out = append(out, q.Next(now, func(*Item[T]) bool { return true }))
	}
	return out
}

// Remove removes the item of a caller that disconnected. It tells whether the item was
// waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	f := q.flows[item.Flow]
	if f == nil {
		return false
	}
	at := slices.Index(f.items, item)
	if at < 0 {
		return false
	}
	q.remove(f, at)
	return true
}
