package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
)

func TestOneSeedConnectsFleet(t *testing.T) {
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

func TestLargeFleetStaysConnected(t *testing.T) {
	const routers = 74
	f := newFleet(routers, "0")
	down := func(address string) bool { return f.rounds > 30 && len(address) == 2 && address[0] == '7' }
	for range 30 {
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
		partners := table.Partners(f.now)
		for _, p := range append(partners.Line, partners.RelayTo...) {
			assert.False(t, down(p), "and are no longer partners")
		}
	}
}

// A router's counts go to its line, and one member of the line sends the sum to each of
// the others: each router hears of each other one exactly once.
func TestEachRouterIsReportedOnceToEachOther(t *testing.T) {
	now := time.Now()
	for _, routers := range []int{5, 9, 10, 30, 74, 136, 680} {
		tables := fullTables(routers, now)
		heard := make(map[string]map[string]int)
		for address := range tables {
			heard[address] = make(map[string]int)
		}
		messages := 0
		for address, table := range tables {
			partners := table.Partners(now)
			messages += len(partners.All())
			for _, mate := range partners.Line {
				heard[mate][address]++
			}
			for _, other := range partners.RelayTo {
				heard[other][address]++
				for _, mate := range partners.Line {
					heard[other][mate]++
				}
			}
		}
		for address, from := range heard {
			assert.Len(t, from, routers-1, "%s of %d", address, routers)
			for other, n := range from {
				assert.Equal(t, 1, n, "%s of %s in %d", address, other, routers)
			}
		}
		t.Logf("%d routers: %.1f partners each", routers, float64(messages)/float64(routers))
	}
}

func TestAnotherMemberRelaysForSilentOne(t *testing.T) {
	now := time.Now()
	tables := fullTables(74, now)
	for _, table := range tables {
		table.Partners(now)
	}
	var dead string
	for address, table := range tables {
		if len(table.Partners(now).RelayTo) > 3 {
			dead = address
			break
		}
	}
	orphans := tables[dead].Partners(now).RelayTo
	later := now.Add(time.Duration(suspectRounds * float64(defaultRound)))
	taken := make(map[string]int)
	for address, table := range tables {
		line, _ := table.Line()
		if deadLine, _ := tables[dead].Line(); address == dead || line != deadLine {
			continue
		}
		for mate := range tables {
			if mate != dead {
				table.RecordHeartbeat(mate, later)
			}
		}
		for _, other := range table.Partners(later).RelayTo {
			taken[other]++
		}
	}
	for _, orphan := range orphans {
		assert.Equal(t, 1, taken[orphan], orphan)
	}
}

func TestSilentMemberIsForgotten(t *testing.T) {
	now := time.Now()
	table := New("me", nil, testMaxPartners)
	assert.True(t, table.RecordHeartbeat("a", now))
	assert.False(t, table.RecordHeartbeat("a", now))
	assert.False(t, table.RecordHeartbeat("me", now))
	table.Merge([]Row{{"b", 2 * time.Second}, {"c", Lifetime + 1}, {"me", 0}}, now)
	assert.Equal(t, []Row{{"a", 0}, {"b", 2 * time.Second}}, table.Rows(now))
	assert.Equal(t, []string{"b"}, table.Expire(now.Add(Lifetime-time.Second)))
	assert.Equal(t, []string{"a"}, table.Expire(now.Add(Lifetime+1)))
	assert.Equal(t, 1, table.Len())
}

func TestOldRowsDoNotRestoreLeftMember(t *testing.T) {
	now := time.Now()
	table := New("me", nil, testMaxPartners)
	table.RecordHeartbeat("a", now)
	table.RecordLeave("a", now)
	table.Merge([]Row{{"a", time.Second}}, now.Add(500*time.Millisecond))
	assert.Empty(t, table.Rows(now))
	table.RecordHeartbeat("a", now.Add(time.Second))
	assert.Len(t, table.Rows(now.Add(time.Second)), 1, "it started again")
}

func TestSamplesAndSeedsCoverAll(t *testing.T) {
	now := time.Now()
	table := New("me", []string{"seed", "m01"}, testMaxPartners)
	for i := range 50 {
		table.RecordHeartbeat(fmt.Sprintf("m%02d", i), now)
	}
	seen, seeds := make(map[string]int), 0
	for round := range 25 {
		for _, row := range table.Sample(round, rowsTold, now) {
			seen[row.Address]++
		}
		seeds += len(table.Partners(now).Seeds)
	}
	assert.Len(t, seen, 50)
	for member, n := range seen {
		assert.InDelta(t, 8, n, 2, member)
	}
	assert.Equal(t, 25, seeds, "a seed that is no member is asked each time")
}

// Both sides of a partition forgot each other after six seconds; meanwhile the seeds, on
// one side, were replaced by routers at other addresses.
func TestPartitionHealsWithoutSeeds(t *testing.T) {
	for _, routers := range []int{9, 40} {
		f := newFleet(routers, "0")
		for range 20 {
			f.round(nobody)
		}
		// The odd and the even routers do not reach each other; "0" dies.
		odd := func(address string) bool { return (address[len(address)-1]-'0')%2 == 1 }
		dead := func(address string) bool { return address == "0" }
		for range 100 {
			f.cutRound(dead, func(a, b string) bool { return odd(a) != odd(b) })
		}
		for address, table := range f.tables {
			if !dead(address) {
				assert.Less(t, table.Len(), routers, "%s forgot the other side", address)
			}
		}
		for range 40 {
			f.round(dead)
		}
		for address, table := range f.tables {
			if !dead(address) {
				assert.Equal(t, routers-1, table.Len(), "%s of %d", address, routers)
			}
		}
	}
}

func TestLeftMemberIsNotSearchedFor(t *testing.T) {
	now := time.Now()
	table := New("me", nil, testMaxPartners)
	table.RecordHeartbeat("died", now)
	table.RecordHeartbeat("stopped", now)
	table.RecordLeave("stopped", now)
	later := now.Add(Lifetime + 1)
	table.Expire(later)
	assert.Equal(t, []string{"died"}, table.Partners(later).Seeds)
	table.Expire(later.Add(lostLifetime + 1))
	assert.Empty(t, table.Partners(later).Seeds)
}

func TestIndirectMemberIsNotDirect(t *testing.T) {
	now := time.Now()
	table := New("me", nil, testMaxPartners)
	table.RecordHeartbeat("a", now)
	table.Merge([]Row{{"b", 0}}, now)
	assert.Equal(t, []Row{{"a", time.Second}}, table.DirectRows(now.Add(time.Second)))
	assert.Empty(t, table.DirectRows(now.Add(Lifetime+1)))
}

// In a fleet of 74 routers all contacted the same eight members in each round, and for
// several rounds heard nobody of some data centre.
func TestPartnersAreSpreadOverMembers(t *testing.T) {
	const routers = 74
	now := time.Now()
	address := func(i int) string { return fmt.Sprintf("10.%d.0.%d:7000", 1+i/20, 10+i%20) }
	asked := make(map[string]int)
	centres := make(map[string]map[string]bool)
	for i := range routers {
		centres[address(i)] = make(map[string]bool)
	}
	for i := range routers {
		table := New(address(i), nil, testMaxPartners)
		for j := range routers {
			table.RecordHeartbeat(address(j), now)
		}
		for _, p := range table.Partners(now).All() {
			asked[p]++
			centres[address(i)][p[:4]] = true
			centres[p][address(i)[:4]] = true
		}
	}
	for router, heard := range centres {
		assert.Len(t, heard, 4, "%s hears of each data centre", router)
	}
	for member, n := range asked {
		assert.Less(t, n, 5*testMaxPartners, member)
	}
	assert.Len(t, asked, routers)
}

func TestSilentRoutersAreStillKnown(t *testing.T) {
	now := time.Now()
	table := New("b", nil, 11)
	assert.Equal(t, []string{"b"}, table.KnownAddresses())
	for _, other := range []string{"c", "a", "d"} {
		table.RecordHeartbeat(other, now)
	}
	assert.Equal(t, []string{"a", "b", "c", "d"}, table.KnownAddresses())
	table.RecordLeave("d", now)
	table.RecordHeartbeat("c", now.Add(Lifetime))
	assert.Equal(t, []string{"a"}, table.Expire(now.Add(Lifetime+time.Second)))
	assert.Equal(t, []string{"a", "b", "c"}, table.KnownAddresses(), "it may be working behind a partition; one that announced its stop is not")
	for _, after := range []struct {
		time  time.Duration
		known []string
	}{{time.Hour, []string{"a", "b", "c"}}, {silentLifetime + 2*Lifetime, []string{"b", "c"}}} {
		table.RecordHeartbeat("c", now.Add(after.time))
		table.Expire(now.Add(after.time + time.Second))
		assert.Equal(t, after.known, table.KnownAddresses(), "data centres are cut off for an hour now and then")
	}
}

// A router that starts contacts some members of each line, which tell their partners of
// it once.
func TestNewMemberIsReportedOnce(t *testing.T) {
	now := time.Now()
	table := New("me", nil, testMaxPartners)
	table.Merge([]Row{{"heard of", 0}}, now)
	for _, address := range []string{"a", "b", "heard of", "c", "a"} {
		table.RecordHeartbeat(address, now)
	}
	table.RecordLeave("b", now)
	assert.Equal(t, []Row{{"a", time.Second}}, table.TakeNew(2, now.Add(time.Second)), "b has left")
	assert.Equal(t, []Row{{"c", time.Second}}, table.TakeNew(2, now.Add(time.Second)))
	assert.Empty(t, table.TakeNew(2, now))
}

func TestLineReportsItsLiveMembers(t *testing.T) {
	const routers = 74
	now := time.Now()
	tables := fullTables(routers, now)
	dead := "7"
	later := now.Add(aliveRounds*defaultRound + time.Millisecond)
	for address, table := range tables {
		for other := range tables {
			if other != dead && other != address {
				table.RecordHeartbeat(other, later)
			}
		}
	}
	listener := New("listener", nil, testMaxPartners)
	for address := range tables {
		listener.Merge([]Row{{address, 0}}, now)
	}
	later = later.Add(10 * time.Second)
	for address, table := range tables {
		if address != dead {
			for other := range tables {
				if other != dead {
					table.RecordHeartbeat(other, later)
				}
			}
			listener.MergeAliveHashes(append(table.AliveHashes(later), 1), later)
		}
	}
	for _, row := range listener.Rows(later) {
		assert.Equal(t, row.Address == dead, row.Age > aliveRounds*defaultRound, row.Address)
	}
	assert.Equal(t, routers+1, listener.Len(), "it adds no member")
}

// Guards against owners of a task that are not the first ones by rank, or not those asked for.
func TestTaskOwnersAreTheFirstByRank(t *testing.T) {
	const routers = 40
	table := fullTables(routers, time.Now())["0"]
	even := func(address string) bool { return address[len(address)-1]%2 == 0 }
	for n := range 50 {
		task := fmt.Sprint("task ", n)
		var ranked []string
		for i := range routers {
			if address := fmt.Sprint(i); even(address) {
				ranked = append(ranked, address)
			}
		}
		slices.SortFunc(ranked, func(x, y string) int {
			return cmp.Compare(xxhash.Sum64String(y+task), xxhash.Sum64String(x+task))
		})
		for _, most := range []int{0, 1, 3, routers} {
			assert.Equal(t, ranked[:min(most, len(ranked))], table.TaskOwners(task, most, even))
		}
	}
}
