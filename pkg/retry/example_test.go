package retry_test

import (
	"fmt"
	"time"

	"github.com/croftyard/croftyard/pkg/retry"
)

// Two routers share an allowance of two retries in 10 s. One of them makes its own, and a second
// one that the other lends.
func Example() {
	now := time.Now()
	bounds := retry.Bounds{Ratio: 0, Allowance: 2, Window: 10 * time.Second}
	here, there := retry.NewBudget(bounds, now, now), retry.NewBudget(bounds, now, now)
	here.SetRouters(2)
	there.SetRouters(2)
	chat := retry.ServiceOf("chat")

	own := here.Reserve(chat, 0, now)
	fmt.Println("own:", own != nil)
	own.Use(now)
	fmt.Println("a second one:", here.Reserve(chat, 0, now) != nil)

	borrowing := retry.NewBorrowing(1, 1, now)
	loan, amount := there.Lend(chat, borrowing.Wanted(), now)
	borrowing.Add(amount, func(used float64) { there.Settle(loan, used, now) }, now)
	lent := borrowing.Finish(func(borrowed float64) bool {
		r := here.Reserve(chat, borrowed, now)
		r.Use(now)
		return r != nil
	})
	fmt.Println("lent:", lent)
	fmt.Printf("left there: %.0f\n", there.Left(chat, now))
	// Output:
	// own: true
	// a second one: false
	// lent: true
	// left there: 0
}
