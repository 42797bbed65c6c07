package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const testMaxPartners = 8

// fleet is a number of tables that exchange rows in rounds.
type fleet struct {
	tables map[string]*Table
	now    time.Time
	rounds int
	// random determines in which order the routers of a round contact their partners.
	random *rand.Rand
}

func newFleet(routers int, seeds ...string) *fleet {
	f := &fleet{tables: make(map[string]*Table), now: time.Now(), random: rand.New(rand.NewPCG(1, 0))}
	for i := range routers {
		address := fmt.Sprint(i)
		f.tables[address] = New(address, seeds, testMaxPartners)
	}
	return f
}

// order returns the addresses of all routers, in a random order.
func (f *fleet) order() []string {
	addresses := slices.Sorted(maps.Keys(f.tables))
	f.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

const rowsTold = 16

// round lets each router contact its partners. down reports the routers that don't
// answer.
func (f *fleet) round(down func(address string) bool) {
	f.cutRound(down, func(string, string) bool { return false })
}

// cutRound is a round in which some routers do not reach each other.
func (f *fleet) cutRound(down func(address string) bool, cut func(a, b string) bool) {
	f.now = f.now.Add(300 * time.Millisecond)
	f.rounds++
	for _, address := range f.order() {
		table := f.tables[address]
		if down(address) {
			continue
		}
		for _, partner := range table.Partners(f.now).All() {
			if f.tables[partner] == nil || down(partner) || cut(address, partner) {
				continue
			}
			f.tables[partner].RecordHeartbeat(address, f.now)
			f.tables[partner].Merge(table.Sample(f.rounds, rowsTold, f.now), f.now)
			table.RecordHeartbeat(partner, f.now)
			table.Merge(f.tables[partner].Sample(f.rounds, rowsTold, f.now), f.now)
		}
		table.Expire(f.now)
	}
}

func nobody(string) bool { return false }

// fullTables returns the tables of a fleet in which all routers know each other.
func fullTables(routers int, now time.Time) map[string]*Table {
	tables := make(map[string]*Table)
	for i := range routers {
		table := New(fmt.Sprint(i), nil, testMaxPartners)
		for j := range routers {
			table.RecordHeartbeat(fmt.Sprint(j), now)
		}
		tables[fmt.Sprint(i)] = table
	}
	return tables
}
