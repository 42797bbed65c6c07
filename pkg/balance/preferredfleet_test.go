package balance

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
)

// listVersions lists the first engines as those of a version, and the others as those of another one.
func (f *engineFleet) listVersions(first int) {
	var list []directory.Replica
	for i, id := range f.ids {
		version := "recorded"
		if i >= first {
			version = "joined"
		}
		list = append(list, directory.Replica{ID: id, Service: "llm", Address: id, DataCentre: f.engines[id].centre, Slots: 32, Version: version})
	}
	slices.SortFunc(list, func(a, b directory.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, b := range f.routers {
		b.SetReplicas(list, f.now)
	}
}

// Guards against engines above what users allow because few of them are of a version that the record
// names, and streams that may be resumed, some share of all requests, begin at these. Also guards against
// streams that begin at other engines while these have room.
func TestLoadAtFewEnginesOfARecordedVersion(t *testing.T) {
	const warm, length = 5 * time.Second, 7 * time.Second
	for _, size := range []struct{ routers, lines, engines int }{{12, 2, 24}, {148, 8, 120}} {
		for _, test := range []struct {
			share float64
			// part: one in so many engines is recorded, for a time.
			part int
			time time.Duration
		}{
			{0, 12, length}, {0.2, 2, length}, {0.2, 4, length}, {0.2, 12, length}, {1, 2, length}, {1, 4, length}, {1, 12, length},
			{0.2, 2, 800 * time.Millisecond}, {0.2, 4, 800 * time.Millisecond}, {1, 2, 800 * time.Millisecond}, {1, 4, 800 * time.Millisecond},
		} {
			t.Run(fmt.Sprintf("%d engines, 1 in %d recorded for %v, share %.1f", size.engines, test.part, test.time, test.share), func(t *testing.T) {
				t.Parallel()
				f := newEngineFleet(1, size.routers, size.lines, size.engines)
				f.after(warm, func() { f.listVersions(size.engines / test.part) })
				recorded := []string{"recorded"}
				// preferring counts the requests that prefer the recorded version, unrecorded those of them
				// that begin at the other one.
				preferring, unrecorded := 0, 0
				f.after(warm+test.time, func() { recorded = append(recorded, "joined") })
				f.choice = func(f *engineFleet, router int, parts []Part) string {
					q := Request{Service: "llm", DataCentre: fmt.Sprintf("dc%d", router%centres), Parts: parts}
					if f.random.Float64() < test.share {
						q.PreferredVersions = recorded
					}
					choice, _ := f.routers[router].Pick(q, f.now)
					if len(q.PreferredVersions) == 1 && f.now.Sub(start) >= warm {
						preferring++
						if version, _ := f.routers[router].VersionOf(choice.Replica.ID); version != "recorded" {
							unrecorded++
						}
					}
					return choice.Replica.ID
				}
				got := f.simulate(warm, length)
				t.Logf("asked %d, in time %d, above %.4f; at the unrecorded version %d of %d", got.asked, got.onTime, got.worstOver(), unrecorded, preferring)
				assert.LessOrEqual(t, got.worstOver(), 0.03)
				if test.part == 2 && test.time < time.Second {
					assert.LessOrEqual(t, float64(unrecorded), 0.1*float64(preferring), "half of the engines take them for a moment")
				}
			})
		}
	}
}
