package gossip

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/membership"
	"github.com/croftyard/croftyard/pkg/retry"
)

// A router that may not make a retry by itself borrows what it lacks from others:
//
//	borrower -> lenders   RetryQuery       what it lacks
//	lender -> borrower    RetryLoan        what it sets aside, perhaps nothing
//	borrower -> lenders   RetrySettlement  what it used of that
//
// A lost query or answer lends less; a lost settlement makes the lender count all as used, a late one until it arrives. Older
// builds do not answer.

// Loans borrows retries from other routers.
type Loans struct{ gossip *Gossip }

// Loans returns what borrows retries from other routers.
func (g *Gossip) Loans() *Loans { return &Loans{g} }

// loanQueries are the open queries of this router.
type loanQueries struct {
	mu   sync.Mutex
	last uint32
	open map[uint32]*loanQuery
}

// loanQuery is one of them. silent are the routers that have not answered.
type loanQuery struct {
	silent  []string
	replies chan loanReply
}

// loanReply is what one router answered.
type loanReply struct {
	from string
	loan *gossippb.RetryLoan
}

// add opens a query to some routers.
func (q *loanQueries) add(asked []string) (number uint32, replies <-chan loanReply) {
	query := &loanQuery{slices.Clone(asked), make(chan loanReply, len(asked))}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open == nil {
		// Answers to the process that ran at this address before may still arrive.
		q.open, q.last = make(map[uint32]*loanQuery), rand.Uint32()
	}
	q.last++
	q.open[q.last] = query
	return q.last, query.replies
}

func (q *loanQueries) remove(number uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, number)
}

// reply passes the reply of a router that was asked to its query, and reports whether that was
// still open.
func (q *loanQueries) reply(r loanReply) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	query := q.open[r.loan.Number]
	if query == nil {
		return false
	}
	i := slices.Index(query.silent, r.from)
	if i < 0 {
		return false
	}
	query.silent = slices.Delete(query.silent, i, i+1)
	query.replies <- r
	return true
}

// Borrow asks other routers for retries at a service and returns what they lent, once that is as
// much as wanted, all have answered, or ctx ends. It takes retry.BorrowTimeout at most.
func (l *Loans) Borrow(ctx context.Context, s retry.Service, wanted float64) *retry.Borrowing {
	g, asked := l.gossip, steady.Now()
	lenders := g.lenders(g.options.Retries.Lenders())
	b := retry.NewBorrowing(wanted, len(lenders), asked)
	if len(lenders) == 0 {
		return b
	}
	ctx, cancel := context.WithTimeout(ctx, retry.BorrowTimeout)
	defer cancel()
	number, replies := g.loanQueries.add(lenders)
	query := encodeDatagram(&gossippb.Datagram{RetryQuery: &gossippb.RetryQuery{Number: number, Service: uint64(s), Wanted: millionths(b.Wanted())}})
	for _, address := range lenders {
		g.send(address, query)
	}
	for enough := false; !enough; {
		select {
		case <-ctx.Done():
			enough = true
		case r := <-replies:
			enough = g.addLoan(b, r)
		}
	}
	// What comes from here on is given back.
	g.loanQueries.remove(number)
	for {
		select {
		case r := <-replies:
			g.addLoan(b, r)
		default:
			return b
		}
	}
}

// addLoan adds an answer to what was borrowed and reports whether no further one is needed.
func (g *Gossip) addLoan(b *retry.Borrowing, r loanReply) bool {
	return b.Add(float64(r.loan.Amount)/million, func(used float64) { g.settleLoan(r, used) }, steady.Now())
}

func (g *Gossip) settleLoan(r loanReply, used float64) {
	g.send(r.from, encodeDatagram(&gossippb.Datagram{RetrySettlement: &gossippb.RetrySettlement{Loan: r.loan.Loan, Used: millionths(used)}}))
}

const million = 1e6

// millionths returns an amount in wire form, rounded up.
func millionths(amount float64) uint32 {
	return uint32(min(math.Ceil(max(amount, 0)*million), math.MaxUint32))
}

// lenders returns other routers to ask for a loan, half of them in this data centre if there are as
// many.
func (g *Gossip) lenders(most int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	near, far := g.members.Alive(), []string(nil)
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	near = slices.DeleteFunc(near, func(address string) bool {
		if g.centres[address] == g.options.DataCentre {
			return false
		}
		far = append(far, address)
		return true
	})
	most = min(most, len(near)+len(far))
	fromFar := min(max(most/2, most-len(near)), len(far))
	return append(near[:most-fromFar], far[:fromFar]...)
}

// lendRetries answers a query for a loan.
func (g *Gossip) lendRetries(from string, q *gossippb.RetryQuery, now time.Time) {
	budget := g.options.Retries
	if budget == nil {
		return
	}
	id, amount := budget.Lend(retry.Service(q.Service), float64(q.Wanted)/million, now)
	reply := &gossippb.RetryLoan{Number: q.Number, Loan: uint32(id), Amount: uint32(amount * million)}
	g.send(from, encodeDatagram(&gossippb.Datagram{RetryLoan: reply}))
}

// receiveLoan passes a loan to its query, or gives it back if that has ended.
func (g *Gossip) receiveLoan(from string, l *gossippb.RetryLoan) {
	r := loanReply{from, l}
	if !g.loanQueries.reply(r) && l.Amount > 0 {
		g.settleLoan(r, 0)
	}
}

// settleRetries ends a loan of this router.
func (g *Gossip) settleRetries(s *gossippb.RetrySettlement, now time.Time) {
	if budget := g.options.Retries; budget != nil {
		budget.Settle(retry.LoanID(s.Loan), float64(s.Used)/million, now)
	}
}

// shareRetries divides the users' allowance by the number of routers. g.mu is held.
func (g *Gossip) shareRetries(now time.Time) {
	if budget := g.options.Retries; budget != nil {
		g.members.SetWindow(budget.Window())
		budget.SetRouters(g.members.Routers(now))
	}
}

// RetryParts returns by how many routers the users' retries are divided, 0 if that is not known.
func (g *Gossip) RetryParts() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Routers(steady.Now())
}

// encodeCount adds how many routers this one counts, if it has a part of the users' retries. g.mu
// is held.
func (g *Gossip) encodeCount(d *gossippb.Digest, now time.Time) {
	if budget := g.options.Retries; budget == nil || !budget.HasPart(now) {
		return
	}
	count := g.members.OwnCount(now)
	d.Routers, d.SeedsMet = uint32(count.Routers), count.Complete
}

// recordCount records how many routers the sender of a digest counts. g.mu is held.
func (g *Gossip) recordCount(d *gossippb.Digest, now time.Time) {
	if d.Routers > 0 {
		g.members.RecordCount(membership.Count{Routers: int(d.Routers), Complete: d.SeedsMet}, now)
	}
}
