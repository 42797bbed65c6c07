package origin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func servedBy(complete bool, versions ...string) []Served {
	return []Served{{Service: "s", Versions: versions, Serving: versions, Complete: complete}}
}

// keeperAfterRead returns a Keeper that read a record of a generation.
func keeperAfterRead(generation uint64, versions ...string) *Keeper {
	k := &Keeper{}
	var records []Stored
	if versions != nil {
		records = []Stored{{"s", versions, generation, 7, 0}}
	}
	k.Loaded(records, generation, at(0))
	return k
}

func TestFirstKeeperReadsThenWritesWhatTheRecordLacks(t *testing.T) {
	for name, test := range map[string]struct {
		keeper     *Keeper
		served     []Served
		generation uint64
		want       Step
	}{
		"nothing was read":                 {&Keeper{}, servedBy(true, "v1"), 1, Step{Read: true}},
		"no service needs a record":        {&Keeper{}, nil, 1, Step{}},
		"there is no record":               {keeperAfterRead(1), servedBy(true, "v1"), 1, Step{Write: []Stored{{"s", []string{"v1"}, 1, 0, 0}}}},
		"the record is right":              {keeperAfterRead(1, "v1"), servedBy(true, "v1"), 1, Step{}},
		"a version joined":                 {keeperAfterRead(1, "v1"), servedBy(true, "v1", "v2"), 1, Step{Write: []Stored{{"s", []string{"v1", "v2"}, 1, 7, 0}}}},
		"a version left long ago":          {keeperAfterRead(1, "v1", "v2"), servedBy(true, "v2"), 1, Step{Write: []Stored{{"s", []string{"v2"}, 1, 7, 0}}}},
		"too little is known, no record":   {keeperAfterRead(1), servedBy(false, "v2"), 1, Step{}},
		"too little is known, one joined":  {keeperAfterRead(1, "v1"), servedBy(false, "v2"), 1, Step{Write: []Stored{{"s", []string{"v1", "v2"}, 1, 7, 0}}}},
		"too little is known, one left":    {keeperAfterRead(1, "v1", "v2"), servedBy(false, "v2"), 1, Step{}},
		"the store came back from a copy":  {keeperAfterRead(1, "v1"), servedBy(true, "v1"), 2, Step{Read: true}},
		"no replica is listed":             {keeperAfterRead(1, "v1"), servedBy(true), 1, Step{}},
		"the same, there is no record":     {keeperAfterRead(1), servedBy(true), 1, Step{}},
		"the generation is not known here": {keeperAfterRead(2, "v1"), servedBy(true, "v1"), 0, Step{}},
	} {
		assert.Equal(t, test.want, test.keeper.Next(test.served, test.generation, 0, at(1)), name)
	}
}

// A record of an earlier generation is not relied on, and is written anew once it is known what
// served.
func TestRecordsOfEarlierGenerationsAreReplaced(t *testing.T) {
	k := &Keeper{}
	old := Stored{"s", []string{"v1"}, 1, 7, 0}
	assert.Empty(t, k.Loaded([]Stored{old}, 2, at(0)))
	assert.Equal(t, Step{}, k.Next(servedBy(false, "v1"), 2, 0, at(1)))
	assert.Equal(t, Step{Write: []Stored{{"s", []string{"v1"}, 2, 7, 0}}}, k.Next(servedBy(true, "v1"), 2, 0, at(2)))
	assert.Equal(t, []Stored{old}, k.Loaded([]Stored{old}, 1, at(3)))
}

// The next routers by rank make up for the first one, and others do nothing, so that a change
// takes few calls however many routers there are.
func TestNextKeepersMakeUpForTheFirst(t *testing.T) {
	joined := servedBy(true, "v1", "v2")
	for rank, want := range map[int][]Step{
		0: {{Write: []Stored{{"s", []string{"v1", "v2"}, 1, 7, 0}}}},
		1: {{}, {Read: true}, {Write: []Stored{{"s", []string{"v1", "v2"}, 1, 7, 0}}}},
		2: {{}, {}, {Read: true}, {Write: []Stored{{"s", []string{"v1", "v2"}, 1, 7, 0}}}},
		3: {{}, {}, {}, {}},
	} {
		k := keeperAfterRead(1, "v1")
		now := at(10)
		for _, step := range want {
			assert.Equal(t, step, k.Next(joined, 1, rank, now), "rank %d", rank)
			if step.Read {
				k.Loaded([]Stored{{"s", []string{"v1"}, 1, 7, 0}}, 1, now)
			}
			now = now.Add(keeperPatience)
		}
	}
}

// Two routers see at different times that a version left a lifetime ago, and must not write against
// each other.
func TestSecondKeeperLeavesRemovalToTheFirst(t *testing.T) {
	k := keeperAfterRead(1, "v2")
	later := []Served{{Service: "s", Versions: []string{"v1", "v2"}, Serving: []string{"v2"}, Complete: true}}
	assert.Equal(t, Step{}, k.Next(later, 1, 1, at(1)))
	assert.Equal(t, Step{}, k.Next(later, 1, 1, at(1).Add(2*keeperPatience)))
}

// A failed call is made again after a pause, with a read first.
func TestFailedKeeperReadsAgain(t *testing.T) {
	k := keeperAfterRead(1, "v1")
	k.Failed(at(1))
	assert.Equal(t, Step{}, k.Next(servedBy(true, "v2"), 1, 0, at(1).Add(keeperPause/2)))
	assert.Equal(t, Step{Read: true}, k.Next(servedBy(true, "v2"), 1, 0, at(1).Add(keeperPause)))
	k.Loaded([]Stored{{"s", []string{"v1"}, 1, 9, 0}}, 1, at(3))
	step := k.Next(servedBy(true, "v2"), 1, 0, at(3))
	assert.Equal(t, Step{Write: []Stored{{"s", []string{"v2"}, 1, 9, 0}}}, step)
	k.Written(step.Write, 12)
	assert.Equal(t, Step{}, k.Next(servedBy(true, "v2"), 1, 0, at(4)))
	assert.Equal(t, Step{Write: []Stored{{"s", []string{"v2", "v3"}, 1, 12, 0}}}, k.Next(servedBy(true, "v2", "v3"), 1, 0, at(5)))
}

// A transaction of the store has a bounded number of entries.
func TestManyRecordsAreWrittenInParts(t *testing.T) {
	var served []Served
	for n := range maxWrites + 3 {
		served = append(served, Served{Service: string(rune('a' + n)), Versions: []string{"v"}, Complete: true})
	}
	k := keeperAfterRead(1)
	first := k.Next(served, 1, 0, at(1))
	assert.Len(t, first.Write, maxWrites)
	k.Written(first.Write, 1)
	assert.Len(t, k.Next(served, 1, 0, at(1)).Write, 3)
}

// A record is kept as long as it names a version that replicas state, and until it was read it may.
func TestRecordMayNameAVersion(t *testing.T) {
	for name, test := range map[string]struct {
		keeper       *Keeper
		names, lacks bool
	}{
		"nothing was read":               {&Keeper{}, true, false},
		"there is no record":             {keeperAfterRead(1), false, true},
		"it names a version":             {keeperAfterRead(1, "v1"), true, false},
		"it names that and none":         {keeperAfterRead(1, "", "v1"), true, false},
		"it names replicas without one":  {keeperAfterRead(1, ""), false, false},
		"it is of an earlier generation": {keeperAfterReadOf(Stored{"s", []string{"v1"}, 1, 7, 0}, 2), true, false},
	} {
		assert.Equal(t, test.names, test.keeper.MayName("s"), name)
		assert.Equal(t, test.lacks, test.keeper.Lacks("s"), name)
		test.keeper.Failed(at(1))
		assert.Equal(t, test.lacks, test.keeper.Lacks("s"), "%s, then a call failed", name)
	}
}

// keeperAfterReadOf returns a Keeper that read a record in a generation of the store.
func keeperAfterReadOf(record Stored, generation uint64) *Keeper {
	k := &Keeper{}
	k.Loaded([]Stored{record}, generation, at(0))
	return k
}

// Guards against a version that is taken for recorded, or for one that served lately: a read began before
// the version was removed from the record, and ended later.
func TestReadThatAWriteOvertookIsNotReliedOn(t *testing.T) {
	k := keeperAfterRead(1, "v1", "v2")
	step := k.Next(servedBy(true, "v2"), 1, 0, at(1))
	assert.Len(t, step.Write, 1)
	k.Written(step.Write, 8)
	overtaken := []Stored{{"s", []string{"v1", "v2"}, 1, 7, 0}}
	assert.Empty(t, k.Loaded(overtaken, 1, at(1)))
	assert.True(t, k.Overtaken())
	versions, _ := k.Recorded("s")
	assert.Empty(t, versions)
	// v1 returns.
	assert.Equal(t, Step{Read: true}, k.Next(servedBy(true, "v1", "v2"), 1, 0, at(2)))
	assert.Len(t, k.Loaded([]Stored{{"s", []string{"v2"}, 1, 8, 0}}, 1, at(2)), 1)
	step = k.Next(servedBy(true, "v1", "v2"), 1, 0, at(2))
	assert.Equal(t, Step{Write: []Stored{{"s", []string{"v1", "v2"}, 1, 8, 0}}}, step)
}

// A store that came back from a copy without telling a generation has lower revisions.
func TestRecordOfALowerRevisionIsReliedOnOnceReadAgain(t *testing.T) {
	k := keeperAfterRead(1, "v1")
	copied := []Stored{{"s", []string{"v1"}, 1, 5, 0}}
	assert.Empty(t, k.Loaded(copied, 1, at(1)))
	assert.True(t, k.Overtaken())
	assert.Equal(t, copied, k.Loaded(copied, 1, at(2)))
	assert.False(t, k.Overtaken())
	assert.Equal(t, Step{}, k.Next(servedBy(true, "v1"), 1, 0, at(3)))
}
