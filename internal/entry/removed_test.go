package entry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// remove removes all records, as operators do before a build that keeps them returns.
func (m *memoryStore) remove() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.records)
}

// Guards against a missing record of versions that is taken for "no other version served": it may have
// been removed, since routers of a build without it served meanwhile.
func TestRemovedRecordIsNoFirstStartUnlessSet(t *testing.T) {
	for name, test := range map[string]struct {
		versions   []string
		firstStart bool
		events     int
	}{
		"two versions served":             {[]string{"v1", "v2"}, false, brokenAfter},
		"one version served":              {[]string{"v1"}, false, brokenAfter},
		"one version served, first_start": {[]string{"v1"}, true, versionedEvents},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedReplicas(t, 2, test.versions...)
			f.store.put("v1")
			f.withoutRecord = true
			f.start(t, 3)
			streams := f.begin(t, 0)
			f.withoutRecord = false
			f.store.remove()
			f.firstStart, f.initial = test.firstStart, 2*f.initial
			f.restart(t, func() { f.serveOnly("v1") })
			for range 2 {
				f.takeUp(t, 0, streams)
			}
			assertNotJoined(t, streams)
			for _, s := range streams {
				assert.Len(t, s.versions, test.events, "%s: status %d", s.id, s.status)
				if !test.firstStart {
					assert.Equal(t, http.StatusServiceUnavailable, s.status, s.id)
				}
			}
			if test.firstStart {
				f.awaitRecord("v1")
			} else {
				assert.Empty(t, f.store.copied(), "routers that do not know a lifetime write no record")
			}
		})
	}
}
