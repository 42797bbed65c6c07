package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/pkg/retry"
)

const lentService = retry.Service(7)

// lendingFleet returns routers that know each other and have an allowance of one retry each for
// an hour, and a little more, since amounts are rounded on their way.
func lendingFleet(t *testing.T, routers int) []*router {
	t.Helper()
	fleet := largeFleet(t, routers)
	for _, r := range fleet {
		r.awaitMembers(t, routers)
	}
	for _, r := range fleet {
		now := time.Now()
		r.gossip.options.Retries.SetBounds(retry.Bounds{Allowance: float64(routers) + 0.1, Window: time.Hour}, now)
	}
	for _, r := range fleet {
		waitUntil(t, func() bool {
			left := r.gossip.options.Retries.Left(lentService, time.Now())
			return left > 1 && left < 1.1 && r.gossip.RetryParts() == float64(routers)
		})
	}
	return fleet
}

// borrow makes one retry at a router with what others lend, and reports whether that was enough.
func (r *router) borrow() bool {
	budget := r.gossip.options.Retries
	lacking := 1 - budget.Left(lentService, time.Now())
	return r.gossip.Loans().Borrow(context.Background(), lentService, lacking).Finish(func(borrowed float64) bool {
		reservation := budget.Reserve(lentService, borrowed, time.Now())
		reservation.Use(time.Now())
		return reservation != nil
	})
}

// Guards against retries that one router lacks while the others leave theirs unused, and against
// loans that are used twice.
func TestRouterBorrowsWhatOthersHaveLeft(t *testing.T) {
	for _, routers := range []int{2, 6, 2 * maxPartners} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			fleet := lendingFleet(t, routers)
			made := 0
			for range 100 * routers {
				if fleet[0].borrow() {
					made++
				}
				if made == routers {
					break
				}
			}
			assert.Equal(t, routers, made, "the allowance of all")
			// Loans that were not settled in time count as used until then, and no longer.
			time.Sleep(retry.LoanTime)
			for _, r := range fleet {
				assert.False(t, r.borrow())
			}
		})
	}
}

// Guards against a query that arrives as a router begins to listen, and that crashed it.
func TestQueryAtStartIsAnswered(t *testing.T) {
	query := encodeDatagram(&gossippb.Datagram{RetryQuery: &gossippb.RetryQuery{Number: 5, Service: uint64(lentService), Wanted: million}})
	for range 50 {
		probe, err := net.Listen("tcp", ownAddress())
		require.NoError(t, err)
		address := probe.Addr().String()
		probe.Close()
		conn, err := net.Dial("udp", address)
		require.NoError(t, err)
		var asking sync.WaitGroup
		asking.Go(func() {
			for answer := make([]byte, peer.MaxDatagram); ; {
				// Both calls fail with ECONNREFUSED until the router listens.
				_, _ = conn.Write(query)
				_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
				if _, err := conn.Read(answer); err == nil || errors.Is(err, net.ErrClosed) {
					return
				}
			}
		})
		r := newIdleRouterAt(t, address, &source{})
		asking.Wait()
		conn.Close()
		r.gossip.stop()
	}
}

// Guards against loans that count though they were not asked for, and against late ones that are
// counted as used.
func TestOnlyAskedRoutersLend(t *testing.T) {
	var q loanQueries
	number, replies := q.add([]string{"a:1", "b:1"})
	tests := []struct {
		from   string
		number uint32
		taken  bool
	}{{"a:1", number + 1, false}, {"c:1", number, false}, {"a:1", number, true}, {"a:1", number, false}, {"b:1", number, true}}
	for _, test := range tests {
		assert.Equal(t, test.taken, q.reply(loanReply{test.from, &gossippb.RetryLoan{Number: test.number, Amount: 1}}), "%v", test)
	}
	assert.Len(t, replies, 2)
	q.remove(number)
	assert.False(t, q.reply(loanReply{"a:1", &gossippb.RetryLoan{Number: number}}))
}

func TestLendersAreOfBothKindsOfDataCentres(t *testing.T) {
	fleet := largeFleet(t, 10)
	r := fleet[0]
	r.awaitMembers(t, len(fleet))
	tests := map[string]struct{ near, most, want, wantNear int }{
		"half of each":        {5, 4, 4, 2},
		"few near":            {1, 4, 4, 1},
		"few far":             {8, 4, 4, 3},
		"more than there are": {3, 20, 9, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r.gossip.mu.Lock()
			for n, other := range fleet[1:] {
				r.gossip.centres[other.gossip.Address()] = "far"
				if n < test.near {
					r.gossip.centres[other.gossip.Address()] = r.gossip.options.DataCentre
				}
			}
			r.gossip.mu.Unlock()
			lenders := r.gossip.lenders(test.most)
			assert.Len(t, lenders, test.want)
			near := 0
			r.gossip.mu.Lock()
			defer r.gossip.mu.Unlock()
			for _, address := range lenders {
				if r.gossip.centres[address] == r.gossip.options.DataCentre {
					near++
				}
			}
			assert.Equal(t, test.wantNear, near)
		})
	}
}

// Messages about loans as the first build with them writes them.
func TestLoanMessagesOfEarlierBuilds(t *testing.T) {
	var query, loan, settlement gossippb.Datagram
	readMessage(t, "loans", "query", &query)
	readMessage(t, "loans", "loan", &loan)
	readMessage(t, "loans", "settlement", &settlement)
	assert.True(t, proto.Equal(&gossippb.RetryQuery{Number: 5, Service: 77, Wanted: 600_000}, query.RetryQuery))
	assert.True(t, proto.Equal(&gossippb.RetryLoan{Number: 5, Loan: 9, Amount: 250_000}, loan.RetryLoan))
	assert.True(t, proto.Equal(&gossippb.RetrySettlement{Loan: 9, Used: 100_000}, settlement.RetrySettlement))
}
