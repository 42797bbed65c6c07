package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const most = 8

// fleet is a number of tables that talk to each other in rounds.
type fleet struct {
	tables map[string]*Table
	now    time.Time
	rounds int
}

func newFleet(routers int, seeds ...string) *fleet {
	f := &fleet{tables: make(map[string]*Table), now: time.Now()}
	for i := range routers {
		address := fmt.Sprint(i)
		f.tables[address] = New(address, seeds, most)
	}
	return f
}

const rowsTold = 16

// round has each router talk to its partners. down is who does not answer.
func (f *fleet) round(down func(address string) bool) {
	f.now = f.now.Add(300 * time.Millisecond)
	f.rounds++
	for address, table := range f.tables {
		if down(address) {
			continue
		}
		for _, partner := range table.Partners(f.now) {
			if f.tables[partner] == nil || down(partner) {
				continue
			}
			f.tables[partner].Heard(address, f.now)
			f.tables[partner].Merge(table.Sample(f.rounds, rowsTold, f.now), f.now)
			table.Heard(partner, f.now)
			table.Merge(f.tables[partner].Sample(f.rounds, rowsTold, f.now), f.now)
		}
		table.Expire(f.now)
	}
}

func nobody(string) bool { return false }

func TestAllLearnOfAllFromOneSeed(t *testing.T) {
	for _, routers := range []int{6, 40, 74} {
		f := newFleet(routers, "0")
		for range 8 {
			f.round(nobody)
		}
		ranks := make(map[int]bool)
		for _, table := range f.tables {
			assert.Equal(t, routers, table.Len(), "of %d", routers)
			ranks[table.Rank()] = true
		}
		assert.Len(t, ranks, routers, "each has a rank of its own")
	}
}

func TestALargeFleetStaysTogether(t *testing.T) {
	const routers = 74
	f := newFleet(routers, "0")
	down := func(address string) bool { return f.rounds > 100 && len(address) == 2 && address[0] == '7' }
	for range 100 {
		f.round(nobody)
		if f.rounds < 10 {
			continue
		}
		for address, table := range f.tables {
			assert.Equal(t, routers, table.Len(), "at %s in round %d", address, f.rounds)
		}
	}
	for range 70 {
		f.round(down)
	}
	for address, table := range f.tables {
		if down(address) {
			continue
		}
		assert.Equal(t, routers-4, table.Len(), "those that died are forgotten")
		for _, p := range table.Partners(f.now) {
			assert.False(t, down(p), "and are no partners any more")
		}
	}
}

// What is told to partners only must reach everybody over a few others.
func TestPartnersOfALargeFleetReachAllInThreeSteps(t *testing.T) {
	const routers = 680
	tables := make([]*Table, routers)
	index := make(map[string]int)
	now := time.Now()
	for i := range tables {
		tables[i] = New(fmt.Sprint(i), nil, most)
		index[fmt.Sprint(i)] = i
		for j := range routers {
			tables[i].Heard(fmt.Sprint(j), now)
		}
	}
	reached := map[int]bool{0: true}
	for range 4 {
		next := make(map[int]bool)
		for i := range reached {
			next[i] = true
			partners := tables[i].Partners(now)
			assert.Len(t, partners, most)
			for _, p := range partners {
				next[index[p]] = true
			}
		}
		reached = next
	}
	assert.Greater(t, len(reached), routers*99/100)
}

func TestAPartnerThatIsSilentIsReplacedAndTriedAgain(t *testing.T) {
	now := time.Now()
	table := New("me", nil, most)
	for i := range 20 {
		table.Heard(fmt.Sprint(i), now)
	}
	first := table.Partners(now)
	assert.Equal(t, first, table.Partners(now.Add(time.Second)), "they stay the same")
	for _, p := range first[1:] {
		table.Heard(p, now.Add(time.Second))
	}
	later := table.Partners(now.Add(patience + 1))
	assert.NotContains(t, later, first[0])
	assert.Len(t, later, most)
	assert.Contains(t, table.Partners(now.Add(retryAfter+1)), first[0])
}

func TestWhoIsSilentIsForgotten(t *testing.T) {
	now := time.Now()
	table := New("me", nil, most)
	assert.True(t, table.Heard("a", now))
	assert.False(t, table.Heard("a", now))
	assert.False(t, table.Heard("me", now))
	table.Merge([]Row{{"b", 2 * time.Second}, {"c", Lifetime + 1}, {"me", 0}}, now)
	assert.Equal(t, []Row{{"a", 0}, {"b", 2 * time.Second}}, table.Rows(now))
	assert.Equal(t, []string{"b"}, table.Expire(now.Add(Lifetime-time.Second)))
	assert.Equal(t, []string{"a"}, table.Expire(now.Add(Lifetime+1)))
	assert.Equal(t, 1, table.Len())
}

func TestWhoLeftIsNotBroughtBackByOldRows(t *testing.T) {
	now := time.Now()
	table := New("me", nil, most)
	table.Heard("a", now)
	table.Left("a", now)
	table.Merge([]Row{{"a", time.Second}}, now.Add(500*time.Millisecond))
	assert.Empty(t, table.Rows(now))
	table.Heard("a", now.Add(time.Second))
	assert.Len(t, table.Rows(now.Add(time.Second)), 1, "it started again")
}

func TestRowsAndSeedsComeRoundToEach(t *testing.T) {
	now := time.Now()
	table := New("me", []string{"seed", "m01"}, most)
	for i := range 50 {
		table.Heard(fmt.Sprintf("m%02d", i), now)
	}
	seen, seeds := make(map[string]int), 0
	for round := range 25 {
		for _, row := range table.Sample(round, rowsTold, now) {
			seen[row.Address]++
		}
		for _, p := range table.Partners(now) {
			if p == "seed" {
				seeds++
			}
		}
	}
	assert.Len(t, seen, 50)
	for member, n := range seen {
		assert.InDelta(t, 8, n, 2, member)
	}
	assert.Equal(t, 25, seeds, "a seed that is no member is asked each time")
}

func TestWhoIsHeardOfThroughOthersIsNotDirect(t *testing.T) {
	now := time.Now()
	table := New("me", nil, most)
	table.Heard("a", now)
	table.Merge([]Row{{"b", 0}}, now)
	assert.Equal(t, []Row{{"a", time.Second}}, table.Direct(now.Add(time.Second)))
	assert.Empty(t, table.Direct(now.Add(Lifetime+1)))
}

// On a day of 74 routers all talked to the same eight members in each round,
// and for several rounds nobody of some data centre was heard.
func TestRoutersThatStartTogetherTalkToDifferentMembers(t *testing.T) {
	const routers = 74
	now := time.Now()
	address := func(i int) string { return fmt.Sprintf("10.%d.0.%d:7000", 1+i/20, 10+i%20) }
	asked := make(map[string]int)
	for i := range routers {
		table := New(address(i), nil, most)
		for j := range routers {
			table.Heard(address(j), now)
		}
		centres := make(map[string]bool)
		for _, p := range table.Partners(now) {
			asked[p]++
			centres[p[:4]] = true
		}
		assert.Greater(t, len(centres), 1, "router %d hears of several data centres", i)
	}
	for member, n := range asked {
		assert.Less(t, n, 4*most, member)
	}
	assert.Greater(t, len(asked), routers*9/10)
}
