package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recorded returns what a store gives back of what a tracker holds.
func recorded(t testing.TB, m *Tracker, now time.Time) []HeldMarks {
	t.Helper()
	r, err := ReadRecord(Record{Requests: m.Held(MaxHeldRequests, now)}.Value(), 1)
	require.NoError(t, err)
	return r.Requests
}

// restored returns a tracker that has started and read what another one held at some time.
func restored(t testing.TB, m *Tracker, written, read time.Time) *Tracker {
	t.Helper()
	after := New(Options{Limits: limits})
	after.Restore(recorded(t, m, written), read)
	return after
}

// Guards against a request that may crash three more replicas after an end of all routers.
func TestHeldRequestsAreRestored(t *testing.T) {
	held := []step{{1, 0}, {2, 5}, {3, 10}}
	eachStart := []step{{1, -10}, {1, 1}, {1, 12}}
	// The record is written at 20 s and read half an hour later.
	const written, read = 20, 20 + 1800
	for name, test := range map[string]struct {
		steps, since []step
		at           float64
		want         Verdict
	}{
		"held, anew from the read on":        {held, nil, read, Verdict{Held, 3, 590 * time.Second}},
		"the hold is over":                   {held, nil, read + 591, Verdict{Trial, 3, -time.Second}},
		"two crashes":                        {held[:2], nil, read, Verdict{}},
		"answered before":                    {append(held, step{0, 15}), nil, read, Verdict{}},
		"answered since":                     {held, []step{{0, read + 600}}, read + 601, Verdict{}},
		"the trial crashes one more":         {held, []step{{4, read + 600}}, read + 600, Verdict{Held, 4, time.Hour}},
		"longer holds stay":                  {append(held, step{4, 16}), nil, read, Verdict{Held, 4, 3596 * time.Second}},
		"others tell the same crashes":       {held, held, read, Verdict{Trial, 3, -1210 * time.Second}},
		"others tell one of them":            {held, held[1:2], read, Verdict{Held, 3, 590 * time.Second}},
		"one replica crashed at each start":  {eachStart, nil, read, Verdict{Held, 3, 592 * time.Second}},
		"others tell these crashes":          {eachStart, eachStart, read, Verdict{Trial, 3, -1208 * time.Second}},
		"marks expire a day after the read":  {held, nil, read + 24*3600, Verdict{}},
		"expired before the record":          {[]step{{1, -86400}, {2, -86400}, {3, -86400}}, nil, read, Verdict{}},
		"a full answer of before the record": {held, []step{{0, 15}}, read, Verdict{Held, 3, 590 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(Options{Limits: limits})
			m.play(test.steps)
			after := restored(t, m, at(written), at(read))
			after.play(test.since)
			got := after.Check(body, at(test.at))
			assert.Equal(t, test.want, got)
		})
	}
}

// What a router knows by itself or from others holds against the record.
func TestRestoreKeepsWhatIsKnown(t *testing.T) {
	m := New(Options{Limits: limits})
	m.play([]step{{1, 0}, {2, 5}, {3, 10}})
	list := recorded(t, m, at(20))
	for name, test := range map[string]struct {
		steps []step
		want  Verdict
	}{
		"held":                  {[]step{{1, 0}, {2, 5}, {3, 10}}, Verdict{Held, 3, 580 * time.Second}},
		"held with one more":    {[]step{{1, 0}, {2, 5}, {3, 10}, {4, 12}}, Verdict{Held, 4, 3582 * time.Second}},
		"one crash of the same": {[]step{{2, 5}}, Verdict{Held, 3, 590 * time.Second}},
		"answered":              {[]step{{0, 25}}, Verdict{}},
		"crashed and answered":  {[]step{{9, 24}, {0, 25}}, Verdict{}},
	} {
		t.Run(name, func(t *testing.T) {
			after := New(Options{Limits: limits})
			after.play(test.steps)
			after.Restore(list, at(30))
			after.Restore(list, at(30))
			assert.Equal(t, test.want, after.Check(body, at(30)))
		})
	}
	after := New(Options{})
	assert.Zero(t, after.Restore(list, at(30)))
	assert.False(t, after.HasMarks(), "the settings count no crashes")
	after.SetLimits(Limits{Crashes: 5, Hold: time.Minute})
	assert.Zero(t, after.Restore(list, at(30)))
	assert.Equal(t, Allowed, after.Check(body, at(30)).State, "the settings allow more crashes")
}

// Guards against crashes that count twice, as others know them by their own times.
func TestRestoredMarksAreNotTold(t *testing.T) {
	m := New(Options{Limits: limits})
	m.play([]step{{1, 0}, {2, 5}, {3, 10}})
	after := restored(t, m, at(20), at(60))
	assert.Empty(t, after.Sample(64))
	assert.Empty(t, after.TakePending())
	assert.Empty(t, after.Recent(at(60)))
	after.RecordCrash(body, 4, at(700), at(700))
	assert.Len(t, after.TakePending(), 1)
	// The other one has restored the same, at another time.
	other := restored(t, m, at(20), at(90))
	other.Merge(after.Sample(64), false, at(701))
	assert.Equal(t, Verdict{Held, 4, 3599 * time.Second}, other.Check(body, at(701)))
}

// Guards against a restored request that stays held at one router, as the one that owns its trials does not
// know it.
func TestRestoredRequestsAreTriedByAny(t *testing.T) {
	m := New(Options{Limits: limits})
	m.play([]step{{1, 0}, {2, 5}, {3, 10}})
	assert.False(t, m.AnyMayTry(body, at(5000)), "others know it too")
	after := restored(t, m, at(10), at(60))
	assert.False(t, after.AnyMayTry(body, at(60+600)), "its owner comes first")
	assert.True(t, after.AnyMayTry(body, at(60+1200)))
	after.RecordCrash(body, 4, at(1300), at(1300))
	assert.False(t, after.AnyMayTry(body, at(9000)))
	assert.False(t, after.AnyMayTry(NewDigest("acme", "POST", "h", "/", nil), at(60)))
}

func TestHeldIsBounded(t *testing.T) {
	m := New(Options{Limits: limits})
	const requests = 200
	digest := func(n int) Digest { return NewDigest("acme", "POST", "h", "/", fmt.Append(nil, n)) }
	for n := range requests {
		for replica := range uint32(40) {
			m.RecordCrash(digest(n), replica+1, at(float64(n)), at(float64(n)))
		}
	}
	list := m.Held(MaxHeldRequests, at(requests))
	require.Len(t, list, MaxHeldRequests)
	for i, h := range list {
		assert.Equal(t, digest(requests-1-i), h.Digest, "the latest first")
		assert.Len(t, h.Crashes, crashWeight*limits.Crashes)
	}
	assert.Less(t, len(Record{Requests: list, Parts: list[:MaxHeldParts]}.Value()), maxRecordBytes/2)
}

// recordedParts returns what a store gives back of what a tracker of parts holds.
func recordedParts(t testing.TB, p *PartTracker, now time.Time) []HeldMarks {
	t.Helper()
	r, err := ReadRecord(Record{Parts: p.Held(MaxHeldParts, now)}.Value(), 1)
	require.NoError(t, err)
	return r.Parts
}

// Guards against parts that are held for others than before the routers ended, or not at all.
func TestHeldPartsAreRestored(t *testing.T) {
	both := []Digest{first, deep}
	three := crashes([]Digest{deep}, 0, 1, 2, 3)
	ofOthers := append(slices.Clone(three), partStep{[]Digest{deep}, other, 4, 4})
	// Many crashes of acme's came after the one of another organisation.
	firstOther := []partStep{{[]Digest{deep}, other, 100, 0}}
	for n := range uint32(20) {
		firstOther = append(firstOther, partStep{[]Digest{deep}, acme, n + 1, 1})
	}
	beside := slices.Concat([]partStep{{[]Digest{first}, acme, 0, -30}}, crashes(both, 0, 1, 2, 3))
	for name, test := range map[string]struct {
		steps        []partStep
		prompt       []Digest
		organisation uint32
		want         State
	}{
		"the part":                       {three, both, acme, Held},
		"another organisation's prompts": {three, both, other, Allowed},
		"crashes of two organisations":   {ofOthers, both, OrganisationHash("third"), Held},
		"one of them before many":        {firstOther, both, OrganisationHash("third"), Held},
		"with a part that was answered":  {beside, both, acme, Held},
		"that part alone":                {beside, []Digest{first}, acme, Allowed},
		"answered again":                 {append(slices.Clone(three), partStep{[]Digest{deep}, acme, 0, 5}), both, acme, Allowed},
	} {
		t.Run(name, func(t *testing.T) {
			p, after := NewPartTracker(Options{Limits: limits}), NewPartTracker(Options{Limits: limits})
			p.play(test.steps)
			after.Restore(recordedParts(t, p, at(20)), at(100))
			assert.Equal(t, test.want, after.Check(test.prompt, test.organisation, at(100)).State)
		})
	}
}

// Crashes of trials make a part's hold longer after a restart as they did before.
func TestHoldOfRestoredPartStaysLong(t *testing.T) {
	p, after := NewPartTracker(Options{Limits: limits}), NewPartTracker(Options{Limits: limits})
	p.play(crashes([]Digest{deep}, 0, 1, 2, 3))
	p.play(crashes([]Digest{deep}, 700, 4))
	assert.Equal(t, time.Hour, p.Check([]Digest{deep}, acme, at(700)).RetryAfter)
	after.Restore(recordedParts(t, p, at(700)), at(5000))
	assert.Equal(t, time.Hour, after.Check([]Digest{deep}, acme, at(5000)).RetryAfter)
}

const goodDigest = "00112233445566778899aabbccddeeff"

// Any writer may have written the record. Nothing is taken of one that is not usable.
func TestUnusableRecordsAreLeftOut(t *testing.T) {
	entry := func(digest, crashes string) string {
		return fmt.Sprintf(`{"requests":[{"digest":%q,"crashes":[{"replica":1,"age_ms":5}]},{"digest":%q,"crashes":%s}],"parts":[]}`, goodDigest, digest, crashes)
	}
	many := func(field string, n int) string {
		one := fmt.Sprintf(`{"digest":%q,"crashes":[{"replica":1,"age_ms":5}]}`, goodDigest)
		return fmt.Sprintf(`{%q:[%s]}`, field, strings.Join(slices.Repeat([]string{one}, n), ","))
	}
	crashList := func(n int) string {
		return "[" + strings.Join(slices.Repeat([]string{`{"replica":1,"age_ms":5}`}, n), ",") + "]"
	}
	for name, value := range map[string]string{
		"nothing":           ``,
		"no JSON":           `{`,
		"cut short":         entry(goodDigest, crashList(1))[:100],
		"followed by more":  entry(goodDigest, crashList(1)) + "x",
		"another type":      `{"requests":"a"}`,
		"short digest":      entry("0011", crashList(1)),
		"no hex":            entry(strings.Repeat("x", 2*DigestSize), crashList(1)),
		"no crashes":        entry(goodDigest, `[]`),
		"many crashes":      entry(goodDigest, crashList(maxCrashes+1)),
		"negative age":      entry(goodDigest, `[{"replica":1,"age_ms":-1}]`),
		"older than a day":  entry(goodDigest, `[{"replica":1,"age_ms":86400001}]`),
		"an endless age":    entry(goodDigest, `[{"replica":1,"age_ms":9223372036854775807}]`),
		"a large replica":   entry(goodDigest, `[{"replica":4294967296,"age_ms":1}]`),
		"too many requests": many("requests", MaxHeldRequests+1),
		"too many parts":    many("parts", MaxHeldParts+1),
		"too long":          entry(goodDigest, crashList(1)) + strings.Repeat(" ", maxRecordBytes),
	} {
		t.Run(name, func(t *testing.T) {
			r, err := ReadRecord([]byte(value), 7)
			assert.ErrorIs(t, err, ErrRecord)
			assert.Equal(t, Record{Revision: 7}, r)
		})
	}
	for name, value := range map[string]string{
		"empty":                   `{}`,
		"fields of a later build": strings.Replace(entry(goodDigest, crashList(1)), "{", `{"more":[1],`, 1),
		"as many as allowed":      many("requests", MaxHeldRequests),
	} {
		t.Run(name, func(t *testing.T) {
			r, err := ReadRecord([]byte(value), 7)
			assert.NoError(t, err)
			assert.EqualValues(t, 7, r.Revision)
		})
	}
}

func TestRecordRoundTrip(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		r := Record{Revision: rnd.Uint64()}
		for _, list := range []*[]HeldMarks{&r.Requests, &r.Parts} {
			for range rnd.IntN(MaxHeldParts) {
				h := HeldMarks{Digest: NewPartDigest("s", rnd.Uint64())}
				for range 1 + rnd.IntN(12) {
					h.Crashes = append(h.Crashes, HeldCrash{rnd.Uint32(), rnd.Uint32(), rnd.IntN(2) == 0, time.Duration(rnd.IntN(86_400_000)) * time.Millisecond})
				}
				*list = append(*list, h)
			}
		}
		read, err := ReadRecord(r.Value(), r.Revision)
		require.NoError(t, err)
		assert.Equal(t, r, read)
	}
}

// FuzzReadRecord feeds arbitrary values of the store to trackers.
func FuzzReadRecord(f *testing.F) {
	m := New(Options{Limits: limits})
	m.play([]step{{1, 0}, {2, 5}, {3, 10}})
	f.Add(Record{Requests: m.Held(MaxHeldRequests, at(11)), Parts: m.Held(MaxHeldParts, at(11))}.Value())
	f.Add([]byte(`{"requests":[{"digest":"` + goodDigest + `","crashes":[{"replica":1,"age_ms":5}]}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := ReadRecord(value, 1)
		if err != nil {
			assert.ErrorIs(t, err, ErrRecord)
			assert.Zero(t, r.Len())
			return
		}
		requests, parts := New(Options{Limits: limits}), NewPartTracker(Options{Limits: limits})
		assert.LessOrEqual(t, requests.Restore(r.Requests, at(0)), MaxHeldRequests)
		assert.LessOrEqual(t, parts.Restore(r.Parts, at(0)), MaxHeldParts)
		for _, h := range r.Parts {
			parts.Check([]Digest{h.Digest}, acme, at(1))
		}
		again, err := ReadRecord(Record{Requests: requests.Held(MaxHeldRequests, at(0)), Parts: parts.Held(MaxHeldParts, at(0))}.Value(), 1)
		assert.NoError(t, err)
		assert.LessOrEqual(t, again.Len(), r.Len())
	})
}
