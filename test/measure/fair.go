package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/owner"
	"github.com/croftyard/croftyard/pkg/placement"
)

// fairCase is one run of a group of engines that several organisations share.
type fairCase struct {
	name   string
	shares []float64
	// offered is each organisation's demand, as a part of the capacity.
	offered []float64
	// limit is each organisation's surge limit as a part of the capacity; 0: none.
	limit float64
	// edge0 has the first organisation send all through one of the routers.
	edge0 bool
}

const (
	fairEngines = 10
	fairSlots   = 8
	fairService = 2.0 // seconds at the mean work
	fairWork    = 800.0
	fairRouters = 3
	fairTime    = 300 * time.Second
	fairWarm    = 50 * time.Second
	fairQueue   = 400
	fairPatient = 30 * time.Second
	fairBurst   = 10 // seconds of the limit
)

// fairFlow is what an organisation got.
type fairFlow struct {
	offered, served  float64
	requests, denied int
	limited          int
	waits            []float64
}

type fairWorld struct {
	fairCase
	rnd    *rand.Rand
	now    time.Duration
	queue  events
	number int
	group  *owner.Group[*fairJob]
	limits [fairRouters]*admission.Limits
	flows  []fairFlow
}

type fairJob struct {
	org  int
	work float64
	at   time.Duration
}

// fairCapacity is the work a second of the whole group.
const fairCapacity = fairEngines * fairSlots * fairWork / fairService

func runFair(c fairCase, seed uint64) []fairFlow {
	w := &fairWorld{fairCase: c, rnd: rand.New(rand.NewPCG(seed, 7)), flows: make([]fairFlow, len(c.shares))}
	w.group = owner.NewGroup(fairQueue, owner.Hooks[*fairJob]{Grant: w.granted, Reject: w.rejected})
	var engines []*owner.Engine
	for i := range fairEngines {
		engines = append(engines, owner.NewEngine(placement.Hash(fmt.Sprint(i)), fairSlots))
	}
	w.group.SetEngines(engines)
	for i := range w.limits {
		w.limits[i] = admission.NewLimits()
		w.limits[i].StartFull()
	}
	for org := range c.shares {
		w.schedule(org)
	}
	w.after(time.Second, w.split)
	for w.now < fairWarm+fairTime {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return w.flows
}

func (w *fairWorld) clock() time.Time { return time.Unix(1_800_000_000, 0).Add(w.now) }

func (w *fairWorld) after(d time.Duration, do func()) {
	w.number++
	heap.Push(&w.queue, event{at: w.now + d, number: w.number, do: do})
}

func (w *fairWorld) schedule(org int) {
	rate := w.offered[org] * fairCapacity / fairWork
	w.after(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		w.arrive(org)
		w.schedule(org)
	})
}

func (w *fairWorld) arrive(org int) {
	f := &w.flows[org]
	j := &fairJob{org: org, work: fairWork * (0.5 + w.rnd.Float64()), at: w.now}
	w.count(func() { f.requests++; f.offered += j.work })
	router := w.rnd.IntN(fairRouters)
	if w.edge0 && org == 0 {
		router = 0
	}
	if w.limit > 0 {
		limit := admission.Limit{Rate: w.limit * fairCapacity, Burst: fairBurst * w.limit * fairCapacity}
		if w.limits[router].Admit(w.clock(), fmt.Sprint(org), limit, j.work, 1.0/fairRouters) != nil {
			w.count(func() { f.limited++ })
			return
		}
	}
	t := &owner.Ticket[*fairJob]{Payload: j, Request: owner.Request{
		Flow: fmt.Sprint(org), Share: w.shares[org], Deadline: w.clock().Add(fairPatient),
		Work: j.work, Bound: 100, LastHop: true,
	}}
	if w.group.Enter(t, w.clock()) != nil {
		w.count(func() { f.denied++ })
	}
}

func (w *fairWorld) count(do func()) {
	if w.now >= fairWarm {
		do()
	}
}

func (w *fairWorld) granted(t *owner.Ticket[*fairJob]) {
	j := t.Payload
	f := &w.flows[j.org]
	w.count(func() {
		f.served += j.work
		f.waits = append(f.waits, (w.now - j.at).Seconds())
	})
	service := j.work / fairWork * fairService
	w.after(time.Duration(service*float64(time.Second)), func() { w.group.Finish(t, true, w.clock()) })
}

func (w *fairWorld) rejected(t *owner.Ticket[*fairJob], _ *admission.Refusal) {
	f := &w.flows[t.Payload.org]
	w.count(func() { f.denied++ })
}

// split is what digests do once a second: each router gets its part of the
// limits from the others' demand.
func (w *fairWorld) split() {
	for i, limits := range w.limits {
		for org := range w.shares {
			others := 0.0
			for k, other := range w.limits {
				if k != i {
					others += other.Demand(w.clock(), fmt.Sprint(org))
				}
			}
			limits.SetFraction(w.clock(), fmt.Sprint(org), others, fairRouters)
		}
	}
	w.after(time.Second, w.split)
}

func fairCases() []fairCase {
	same := func(n int, v float64) []float64 { return slices.Repeat([]float64{v}, n) }
	shares := []float64{1, 2, 3, 4}
	calm := same(10, 0.085)
	surge := same(10, 0.085)
	surge[0] *= 8
	half := []float64{0.05, 0.8, 0.8, 0.8}
	return []fairCase{
		{name: "all backlogged, shares 1 2 3 4", shares: shares, offered: same(4, 0.8)},
		{name: "first uses half of its share", shares: shares, offered: half},
		{name: "calm, ten at 8.5 %", shares: same(10, 1), offered: calm, limit: 0.15},
		{name: "first surges 8 times, one edge", shares: same(10, 1), offered: surge, limit: 0.15, edge0: true},
		{name: "first surges 8 times, no limit", shares: same(10, 1), offered: surge},
	}
}

// printFair prints a row for the first organisation of each case and one for
// the others together.
func printFair(seeds int) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "case\tseed\twho\tshare due\tserved part\tlimited\trefused\twait p50 ms\twait p95 ms\t")
	for _, c := range fairCases() {
		for seed := range seeds {
			flows := runFair(c, uint64(seed+1))
			total := 0.0
			for _, f := range flows {
				total += f.served
			}
			printFlow(w, c, seed+1, "first", flows[:1], c.shares[:1], total)
			printFlow(w, c, seed+1, "others", flows[1:], c.shares[1:], total)
		}
	}
	w.Flush()
}

func printFlow(w *tabwriter.Writer, c fairCase, seed int, who string, flows []fairFlow, shares []float64, total float64) {
	var sum fairFlow
	due := 0.0
	for i, f := range flows {
		sum.served += f.served
		sum.requests += f.requests
		sum.denied += f.denied
		sum.limited += f.limited
		sum.waits = append(sum.waits, f.waits...)
		due += shares[i]
	}
	all := 0.0
	for _, s := range c.shares {
		all += s
	}
	slices.Sort(sum.waits)
	quantile := func(q float64) float64 { return 1000 * sum.waits[int(q*float64(len(sum.waits)))] }
	part := func(n int) float64 { return float64(n) / float64(sum.requests) }
	fmt.Fprintf(w, "%s\t%d\t%s\t%.3f\t%.3f\t%.3f\t%.4f\t%.0f\t%.0f\t\n", c.name, seed, who,
		due/all, sum.served/total, part(sum.limited), part(sum.denied), quantile(0.5), quantile(0.95))
}
