package balance

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
)

// restFleet simulates routers before replicas some of which ask for rest.
type restFleet struct {
	random     *rand.Rand
	now        time.Time
	list       []directory.Replica
	routers    []*Balancer
	statements []*directory.Statements
	// restUntil is until when a replica rests; sent counts what routers sent it after they had been
	// told so, or as the first request since they started.
	restUntil map[string]time.Time
	sent      []map[string]int
	refused   int
}

func newRestFleet(routers, replicas, resting int, until time.Time) *restFleet {
	f := &restFleet{random: rand.New(rand.NewPCG(1, 1)), now: start, list: engines(replicas), restUntil: make(map[string]time.Time)}
	for _, r := range f.list[:resting] {
		f.restUntil[r.ID] = until
	}
	for router := range routers {
		f.routers, f.statements, f.sent = append(f.routers, nil), append(f.statements, nil), append(f.sent, nil)
		f.restart(router)
	}
	return f
}

// restart replaces a router by one that knows the list.
func (f *restFleet) restart(router int) {
	f.routers[router], f.statements[router], f.sent[router] = New(uint64(router)), directory.NewStatements(), make(map[string]int)
	f.routers[router].SetReplicas(f.list, f.now)
}

// learn has a router learn from the answer to its hello.
func (f *restFleet) learn(router, from int) {
	const most = 32
	for _, rest := range f.statements[from].Rests(most, f.now) {
		f.statements[router].MarkResting(rest.ID, f.now, rest.Until, f.now)
		f.routers[router].RestUntil(rest.ID, rest.Until)
	}
}

// request sends one request to replicas until one takes it.
func (f *restFleet) request() {
	router := f.random.IntN(len(f.routers))
	for {
		var excluded []string
		for _, rest := range f.statements[router].Rests(len(f.list), f.now) {
			excluded = append(excluded, rest.ID)
		}
		choice, found := f.routers[router].Pick(Request{Service: "llm", Tried: excluded}, f.now)
		if !found {
			f.refused++
			return
		}
		id := choice.Replica.ID
		until := f.restUntil[id]
		if !f.now.Before(until) {
			f.routers[router].RequestSucceeded(id, nil, f.now)
			return
		}
		f.sent[router][id]++
		f.statements[router].MarkResting(id, f.now, until, f.now)
		f.routers[router].RestUntil(id, until)
	}
}

// play sends requests at a rate for a time.
func (f *restFleet) play(length time.Duration, perSecond int) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Second / time.Duration(perSecond)) {
		f.request()
	}
}

// total returns how many requests went to replicas at rest, and the most that one got from one router.
func (f *restFleet) total() (all, most int) {
	for _, sent := range f.sent {
		for _, n := range sent {
			all, most = all+n, max(most, n)
		}
	}
	return all, most
}

// Guards against routers that start and send replicas at rest more than the request that tells them.
// With LARGE_FLEETS=1 it plays 985 routers too.
func TestReplicasAtRestThoughRoutersEnd(t *testing.T) {
	sizes := []int{3, 143}
	if os.Getenv("LARGE_FLEETS") != "" {
		sizes = append(sizes, 985)
	}
	const replicas, resting, perSecond, calm = 60, 6, 1000, 10 * time.Second
	for _, size := range sizes {
		for name, ended := range map[string]int{"none ends": 0, "one ends": 1, "all end": size} {
			t.Run(fmt.Sprintf("%s, %d routers", name, size), func(t *testing.T) {
				t.Parallel()
				f := newRestFleet(size, replicas, resting, start.Add(time.Hour))
				f.play(calm, perSecond)
				for router := range ended {
					f.restart(router)
				}
				if ended < size {
					for router := range ended {
						f.learn(router, size-1)
					}
				}
				before, _ := f.total()
				f.play(calm, perSecond)
				after, most := f.total()
				t.Logf("%s: %d requests to replicas at rest before, %d after", t.Name(), before, after-before)
				assert.LessOrEqual(t, most, 1)
				assert.Zero(t, f.refused)
				if size == 3 && ended == 1 {
					assert.Equal(t, before, after, "the others have been told")
				}
			})
		}
	}
}
