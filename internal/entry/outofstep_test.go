package entry

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/watch"
)

// Guards against streams of a version that joined in a release and that go on at another one: they
// are taken up at a router that did not learn of it, as it was cut off.
func TestStreamIsNotJoinedAtARouterOutOfStep(t *testing.T) {
	for name, test := range map[string]struct {
		// routers is how many are out of step, and reach each other.
		routers int
		// reachesStore: they can read the list.
		reachesStore bool
	}{
		"one router":                      {1, true},
		"one router, without the store":   {1, false},
		"two routers":                     {2, true},
		"two routers, without the store":  {2, false},
		"four routers, without the store": {4, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inStep := newVersionedReplicas(t, 2, "v1", "v2")
			outOfStep := *inStep
			outOfStep.source, outOfStep.store = &source{}, newMemoryStore()
			config := inStep.source.snapshot.Config
			for _, f := range []*versionedFleet{inStep, &outOfStep} {
				f.firstStart = true
				f.source.read(watch.Snapshot{Config: config, Replicas: f.all[:2]}, nil)
				f.start(t, map[bool]int{true: 2, false: test.routers}[f == inStep])
				f.awaitRecord("v1")
			}
			after := watch.Snapshot{Config: config, Replicas: inStep.all}
			if test.reachesStore {
				outOfStep.source.read(after, nil)
			} else {
				outOfStep.source.read(watch.Snapshot{}, errors.New("out of reach"))
				outOfStep.store.setAway(true)
			}
			inStep.source.read(after, nil)
			inStep.awaitRecord("v1", "v2")
			inStep.awaitConfirmed("v1", "v2")
			begun := inStep.begin(t, 0)
			outOfStep.takeUp(t, 0, begun)
			joined, later := 0, 0
			for _, s := range begun {
				if s.versions[0] == "v2" {
					later++
				}
				if s.mixed() {
					joined++
				}
			}
			assert.Positive(t, later, "streams of the later version")
			assert.Zero(t, joined, "streams joined, of %d of the later version", later)
		})
	}
}

// read sets what reads return.
func (s *source) read(snapshot watch.Snapshot, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot, s.err = snapshot, err
}
