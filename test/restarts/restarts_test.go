package main

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// program builds the router's program once, in a folder that TestMain removes.
var program = sync.OnceValues(func() (string, error) {
	path := filepath.Join(folder, "croftyard")
	return path, build(path)
})

var folder string

func TestMain(m *testing.M) {
	var err error
	if folder, err = os.MkdirTemp("", "restarts"); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// playShort plays cases of a row side by side, each a change and a way of ending.
func playShort(t *testing.T, r row, seed uint64, cases [][2]string) {
	t.Helper()
	const size = 3
	path, err := program()
	require.NoError(t, err)
	t.Parallel()
	for _, c := range cases {
		s := scenario{row: r, change: c[0], end: c[1], store: storeNormal, absence: 100 * time.Millisecond, size: size, seed: seed}
		t.Run(s.change+", "+s.end, func(t *testing.T) {
			t.Parallel()
			o, err := s.play(programs{path, path}, t.TempDir(), "")
			require.NoError(t, err)
			t.Log(result{scenario: s, outcome: o}.summary())
			assert.Zero(t, o.broken)
			assert.Empty(t, o.violations)
		})
	}
}

// Guards against streams that go on at another software version once no router remembers which one began them.
func TestStreamsAfterRestartsHoldOneVersion(t *testing.T) {
	playShort(t, streams{}, seed, [][2]string{{leftBefore, endKilled}, {replacedMeanwhile, endKilled}, {bothServe, endKilled}, {leftBefore, endInTurn}, {leftBefore, endStill}})
}

func TestCasesDifferInOneWayFromThePlainest(t *testing.T) {
	a := arguments{Rows: []string{"streams"}, Absences: []time.Duration{100 * time.Millisecond, time.Second}, Sizes: []int{3, 9}, Seeds: []uint64{1, 2}}
	ways := len(ends) - 1 + len(stores) - 1 + 1 + 1
	cases, err := a.cases()
	require.NoError(t, err)
	assert.Len(t, cases, len(streams{}.changes())*(1+ways)*len(a.Seeds))
	a.Cross = true
	cases, err = a.cases()
	require.NoError(t, err)
	assert.Len(t, cases, len(streams{}.changes())*len(ends)*len(stores)*2*2*len(a.Seeds))
	for name, wrong := range map[string]arguments{
		"row":    {Rows: []string{"rivers"}},
		"end":    {Ends: []string{"melted"}},
		"store":  {Stores: []string{"open"}},
		"change": {Changes: []string{"none"}},
	} {
		wrong.Absences, wrong.Sizes, wrong.Seeds = a.Absences, a.Sizes, a.Seeds
		_, err := wrong.cases()
		assert.ErrorIs(t, err, errUnknown, name)
	}
}

// Guards against a check that sees nothing.
func TestAStreamThatIsNotOneIsSeen(t *testing.T) {
	event := func(number int, version string) seen { return seen{number: number, version: version} }
	first := exchange{events: []seen{event(1, oldVersion), event(2, oldVersion)}}
	for name, test := range map[string]struct {
		tries []*exchange
		want  string
	}{
		"goes on":             {[]*exchange{{}, {events: []seen{event(3, oldVersion)}}}, ""},
		"refused":             {[]*exchange{{}}, ""},
		"another version":     {[]*exchange{{events: []seen{event(3, newVersion)}}}, "event 3 is of v2, the first of v1"},
		"a later try's":       {[]*exchange{{events: []seen{event(3, oldVersion)}}, {events: []seen{event(4, newVersion)}}}, "event 4 is of v2, the first of v1"},
		"an event twice":      {[]*exchange{{events: []seen{event(2, oldVersion)}}}, "event 2 comes where 3 is due"},
		"an event is missing": {[]*exchange{{events: []seen{event(4, oldVersion)}}}, "event 4 comes where 3 is due"},
	} {
		s := stream{first: first, tries: test.tries}
		assert.Equal(t, test.want, s.problem(), name)
	}
}

func TestTableAndPage(t *testing.T) {
	s := scenario{row: streams{}, change: bothServe, end: endKilled, store: storeNormal, absence: time.Second, size: 3, seed: 1}
	results := []result{
		{scenario: s, outcome: outcome{asked: 60, kept: 30, broken: 28, refused: 1, failed: 1, slowest: 2 * time.Millisecond, before: calls{3, 1}, violations: []string{"joined"}}},
		{scenario: s, err: errNotReady},
	}
	text := table(results)
	assert.Contains(t, text, "| 60 | 30 | 0 | 1 | 2ms | 1 | 28 | 3, 1 | 0, 0 | ; joined |")
	assert.Contains(t, text, errNotReady.Error())
	page, err := page(results)
	require.NoError(t, err)
	assert.Contains(t, string(page), "<svg")
	assert.NotContains(t, string(page), "<?xml")
	assert.NotContains(t, strings.ReplaceAll(string(page), "http://www.w3.org/", ""), "http")
}

// Guards against an update of all routers, one after another, in which callers lose requests or streams.
func TestUpdateUnderLoadLosesNothing(t *testing.T) {
	path, err := program()
	require.NoError(t, err)
	t.Parallel()
	for _, change := range []string{loadRequests, loadTwoVersions} {
		s := scenario{row: load{}, change: change, end: endUpdate, store: storeNormal, absence: 100 * time.Millisecond, size: 3, seed: 1}
		t.Run(change, func(t *testing.T) {
			t.Parallel()
			o, err := s.play(programs{path, path}, t.TempDir(), "")
			require.NoError(t, err)
			t.Log(result{scenario: s, outcome: o}.summary(), o.notes)
			assert.Positive(t, o.asked)
			assert.Equal(t, o.asked, o.kept+o.late)
			assert.Empty(t, o.violations)
			// On a busy machine processes stand still for seconds, also if no router ends.
			assert.LessOrEqual(t, o.late, o.asked/20)
		})
	}
}
