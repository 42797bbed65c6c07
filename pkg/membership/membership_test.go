package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestAllLearnOfAllFromOneSeed(t *testing.T) {
	const routers = 40
	now := time.Now()
	tables := make(map[string]*Table)
	for i := range routers {
		address := fmt.Sprint(i)
		tables[address] = New(address, []string{"0"})
	}
	rounds := 0
	for ; rounds < 60; rounds++ {
		now = now.Add(250 * time.Millisecond)
		for address, table := range tables {
			for _, partner := range table.Partners(rounds, 16) {
				tables[partner].Heard(address, now)
				tables[partner].Merge(table.Rows(now), now)
				table.Heard(partner, now)
				table.Merge(tables[partner].Rows(now), now)
			}
		}
		all := true
		for _, table := range tables {
			all = all && table.Len() == routers
		}
		if all {
			break
		}
	}
	assert.Less(t, rounds, 4)
	ranks := make(map[int]bool)
	for _, table := range tables {
		ranks[table.Rank()] = true
	}
	assert.Len(t, ranks, routers, "each has a rank of its own")
}

func TestWhoIsSilentIsForgotten(t *testing.T) {
	now := time.Now()
	table := New("me", nil)
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
	table := New("me", nil)
	table.Heard("a", now)
	table.Left("a", now)
	table.Merge([]Row{{"a", time.Second}}, now.Add(500*time.Millisecond))
	assert.Empty(t, table.Rows(now))
	table.Heard("a", now.Add(time.Second))
	assert.Len(t, table.Rows(now.Add(time.Second)), 1, "it started again")
}

func TestPartnersComeRoundToEach(t *testing.T) {
	now := time.Now()
	table := New("me", []string{"seed", "m01"})
	for i := range 50 {
		table.Heard(fmt.Sprintf("m%02d", i), now)
	}
	seen := make(map[string]int)
	for round := range 25 {
		for _, p := range table.Partners(round, 16) {
			seen[p]++
		}
	}
	assert.Len(t, seen, 51)
	assert.Equal(t, 25, seen["seed"], "a seed that is no member is asked each time")
}

// On a day of 74 routers all talked to the same eight members in each round,
// and for several rounds nobody of some data centre was heard.
func TestRoutersThatStartTogetherTalkToDifferentMembers(t *testing.T) {
	const routers, most, rounds = 74, 8, 3
	now := time.Now()
	address := func(i int) string { return fmt.Sprintf("10.%d.0.%d:7000", 1+i/20, 10+i%20) }
	tables := make([]*Table, routers)
	for i := range tables {
		tables[i] = New(address(i), nil)
		for j := range routers {
			tables[i].Heard(address(j), now)
		}
	}
	for round := range 20 {
		asked := make(map[string]int)
		for _, table := range tables {
			for _, p := range table.Partners(round, most) {
				asked[p]++
			}
		}
		for member, n := range asked {
			assert.Less(t, n, 4*most, "%s in round %d", member, round)
		}
	}
	for i, table := range tables {
		centres := make(map[string]bool)
		for round := range rounds {
			for _, p := range table.Partners(round, most) {
				centres[p[:4]] = true
			}
		}
		assert.Len(t, centres, 4, "router %d hears of each data centre", i)
	}
}
