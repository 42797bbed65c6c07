package policy

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/pkg/kv"
)

// Property tests draw the same cases in every run.
func init() { _ = flag.Set("rapid.seed", "20261202") }

const sample = `
[fleet]
chat_key = 000102030405060708090a0b0c0d0e0f
[template solicitor]
share = 2
models = drafting, summary
priority_max = 5
[group agents]
template = solicitor
organisation = harrowgate
bound = 1.4
[service lookup]
repeatable = yes
`

var ctx = context.Background()

func expectSegments(t require.TestingT, text string) []Segment {
	segments, err := Split("test", []byte(text))
	require.NoError(t, err)
	return segments
}

func proposal(t require.TestingT, id string, base uint64, text string) Proposal {
	return Proposal{ID: id, At: time.Unix(1_800_000_000, 0), Base: base, Put: expectSegments(t, text)}
}

func expectVersion(t *testing.T, want uint64) func(Head, error) Head {
	return func(h Head, err error) Head {
		t.Helper()
		require.NoError(t, err)
		require.Equal(t, want, h.Version)
		return h
	}
}

func TestGroupsInheritTemplates(t *testing.T) {
	s, err := Resolve(7, expectSegments(t, sample+"keys_note =\n"[:0]))
	require.NoError(t, err)
	g := s.Groups["agents"]
	assert.Equal(t, 2.0, g.Share)
	assert.Equal(t, 1.4, g.Bound)
	assert.Equal(t, []string{"bound"}, g.Overrides)
	assert.True(t, g.AllowsModel("summary"))
	assert.False(t, g.AllowsModel("other"))
	assert.True(t, g.AllowsAdapter(""))
	assert.False(t, g.AllowsAdapter("deeds"))
	assert.True(t, s.Services["lookup"].Repeatable)
	assert.EqualValues(t, 7, s.Version)
}

func TestResolveReportsEveryError(t *testing.T) {
	bad := `
[template a]
share = 0
bound = wide
[group g]
template = absent
keys = md5:1
shares = 3
deadline = 2h
[group h]
organisation = x
priority_min = 5
priority_max = 1
`
	_, err := Resolve(1, expectSegments(t, bad))
	require.ErrorIs(t, err, ErrInvalid)
	for _, part := range []string{
		`[template a] share = "0"`, `[template a] bound = "wide"`, `[group g] template = "absent": no such template`,
		`[group g] organisation = "": must be set`, `[group g] keys = "md5:1"`, `[group g] shares = "3": no such key`,
		`[group g] deadline = "2h"`, `[group h] priority_min = "5": must not exceed priority_max (1)`,
	} {
		assert.ErrorContains(t, err, part)
	}
}

func TestSplitErrors(t *testing.T) {
	for _, c := range []struct{ text, part string }{
		{"[group Two]\n", "a name of 1 to 64"},
		{"[fleet x]\n", "fleet takes no name"},
		{"[zone a]\n", "must be fleet, template NAME"},
		{"share = 1\n", `key "share" stands before the first section`},
		{"[group a]\nshare = 1\nshare = 2\n", "stands twice"},
		{"[group a\n", "f.ini"},
	} {
		_, err := Split("f.ini", []byte(c.text))
		require.ErrorIs(t, err, ErrInvalid, c.text)
		assert.ErrorContains(t, err, c.part)
	}
}

func TestSameContentHasTheSameHash(t *testing.T) {
	a := expectSegments(t, "[group a]\nshare=1 ; note\norganisation = o\n")
	b := expectSegments(t, "; other\n[group a]\norganisation = o\nshare = 1\n")
	assert.Equal(t, a, b)
	again, err := ParseSegment(a[0].Hash, a[0].Text)
	require.NoError(t, err)
	assert.Equal(t, a[0], again)
	_, err = ParseSegment(a[0].Hash, append(a[0].Text, "deadline = 1s\n"...))
	assert.ErrorIs(t, err, ErrInvalid)
}

func TestOneKeyBelongsToOneGroup(t *testing.T) {
	key := HashKey("k").String()
	_, err := Resolve(1, expectSegments(t, fmt.Sprintf("[group a]\norganisation=o\nkeys=%s\n[group b]\norganisation=o\nkeys=%s\n", key, key)))
	assert.ErrorContains(t, err, "is also a key of group a")
}

func TestEditsRebaseOrConflict(t *testing.T) {
	store := kv.NewMemory(time.Now)
	expect := expectVersion
	expect(t, 1)(Apply(ctx, store, proposal(t, "e1", 0, sample)))
	expect(t, 2)(Apply(ctx, store, proposal(t, "e2", 1, "[service lookup]\nrepeatable = no\n")))
	expect(t, 3)(Apply(ctx, store, proposal(t, "e3", 1, "[template solicitor]\nshare = 9\n")))
	_, err := Apply(ctx, store, proposal(t, "e4", 1, "[template solicitor]\nshare = 5\n"))
	require.ErrorIs(t, err, ErrConflict)
	var conflict *Conflict
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, SegmentID{KindTemplate, "solicitor"}, conflict.Segment)
	assert.EqualValues(t, 3, conflict.Version)
	expect(t, 3)(Apply(ctx, store, proposal(t, "e2", 1, "[service lookup]\nrepeatable = no\n")))
	_, err = Apply(ctx, store, Proposal{ID: "e5", Base: 3, Delete: []SegmentID{{KindTemplate, "solicitor"}}})
	assert.ErrorContains(t, err, "no such template", "an edit that makes the configuration invalid is refused")
}

func TestRollback(t *testing.T) {
	store := kv.NewMemory(time.Now)
	first := expectVersion(t, 1)(Apply(ctx, store, proposal(t, "e1", 0, sample)))
	second := expectVersion(t, 2)(Apply(ctx, store, proposal(t, "e2", 1, "[service lookup]\nrepeatable = no\n[service new]\n")))
	put, remove, err := Rollback(second, 1)
	require.NoError(t, err)
	assert.Equal(t, []Entry{{KindService, "lookup", first.SegmentHash(KindService, "lookup")}}, put)
	assert.Equal(t, []SegmentID{{KindService, "new"}}, remove)
	_, err = second.SegmentsAt(3)
	assert.ErrorIs(t, err, ErrVersionUnknown)
}

func TestHistoryIsBounded(t *testing.T) {
	h := Head{}
	for i := range maxEdits + 10 {
		h = h.apply(Edit{ID: fmt.Sprint(i), Changes: []Change{{Kind: KindService, Name: "s", Before: Hash(fmt.Sprint(i)), After: Hash(fmt.Sprint(i + 1))}}})
	}
	assert.Len(t, h.Edits, maxEdits)
	_, err := h.SegmentsAt(5)
	assert.ErrorIs(t, err, ErrVersionUnknown)
	past, err := h.SegmentsAt(20)
	require.NoError(t, err)
	assert.Equal(t, Hash("20"), past[0].Hash)
}

func TestDelta(t *testing.T) {
	store := kv.NewMemory(time.Now)
	first := expectVersion(t, 1)(Apply(ctx, store, proposal(t, "e1", 0, sample)))
	expectVersion(t, 2)(Apply(ctx, store, proposal(t, "e2", 1, "[service lookup]\nrepeatable = no\n")))
	third := expectVersion(t, 3)(Apply(ctx, store, proposal(t, "e3", 2, "[service more]\n")))
	delta := third.DeltaSince(1)
	assert.Nil(t, delta.Full)
	assert.Len(t, delta.SegmentHashes(), 2)
	assert.Equal(t, third, first.ApplyDelta(delta))
	assert.Equal(t, third, third.ApplyDelta(first.DeltaSince(0)), "an older head is ignored")
	assert.Equal(t, third, Head{}.ApplyDelta(third.DeltaSince(0)))
	assert.Equal(t, first, first.ApplyDelta(third.DeltaSince(2)), "a delta from another version is ignored")
}

func TestAdoptOnlyNewerVersions(t *testing.T) {
	var a ActiveSnapshot
	assert.Nil(t, a.Current())
	assert.True(t, a.AdoptIfNewer(&Snapshot{Version: 2}))
	assert.False(t, a.AdoptIfNewer(&Snapshot{Version: 1}))
	assert.False(t, a.AdoptIfNewer(&Snapshot{Version: 2}))
	assert.EqualValues(t, 2, a.Current().Version)
}

func TestEditDuringOutageReportsUnavailable(t *testing.T) {
	store := faulty.New(kv.NewMemory(time.Now), 1)
	store.Down = 1
	_, err := Apply(ctx, store, proposal(t, "e1", 0, sample))
	assert.ErrorIs(t, err, ErrUnavailable)
}

// TestEditsUnderFaults applies edits under random store faults: an accepted edit is in
// the history exactly once, a refused one is not in it, and the version equals the
// number of edits.
func TestEditsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := kv.NewMemory(time.Now)
		store := faulty.New(memory, rapid.Uint64().Draw(t, "seed"))
		store.Lost, store.Dropped, store.Delayed, store.Down = 0.2, 0.1, 0.1, 0.1
		accepted, refused := map[string]bool{}, map[string]bool{}
		for i := range rapid.IntRange(1, 12).Draw(t, "edits") {
			entry, err := memory.Get(ctx, HeadKey)
			require.NoError(t, err)
			head, err := DecodeHead(entry.Value)
			require.NoError(t, err)
			base := head.Version - min(head.Version, rapid.Uint64Range(0, 2).Draw(t, "behind"))
			id := fmt.Sprintf("e%d", i)
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			_, err = Apply(ctx, store, proposal(t, id, base, fmt.Sprintf("[service %s]\ntimeout = %ds\n", name, i+1)))
			switch {
			case err == nil:
				accepted[id] = true
			case !errors.Is(err, ErrOutcomeUnknown):
				refused[id] = true
			}
			if rapid.Bool().Draw(t, "deliver") {
				store.Deliver()
			}
		}
		store.Deliver()
		entry, err := memory.Get(ctx, HeadKey)
		require.NoError(t, err)
		head, err := DecodeHead(entry.Value)
		require.NoError(t, err)
		require.EqualValues(t, len(head.Edits), head.Version)
		count := map[string]int{}
		for _, e := range head.Edits {
			count[e.ID]++
		}
		for id := range accepted {
			require.Equal(t, 1, count[id], id)
		}
		for id := range refused {
			require.Zero(t, count[id], id)
		}
	})
}

func FuzzSplit(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[group a]\nshare = 1e400\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		segments, err := Split("f", text)
		if err != nil {
			return
		}
		for _, s := range segments {
			again, err := ParseSegment(s.Hash, s.Text)
			require.NoError(t, err, "%q", s.Text)
			require.Equal(t, s, again)
		}
	})
}
