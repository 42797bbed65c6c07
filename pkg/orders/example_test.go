package orders_test

import (
	"context"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/pkg/kv"
	"github.com/croftyard/croftyard/pkg/orders"
)

// The holder asks for permission just before it sends an order.
func Example() {
	terms := orders.Terms{TTL: 10 * time.Second, Margin: time.Second, Loads: 0.5}
	holder := orders.NewHolder(kv.NewMemory(time.Now), "router-1", terms, time.Now)
	fmt.Println(holder.Hold(context.Background()))
	order, err := holder.Authorize(true, true)
	fmt.Println(order.Token, err)
	_, err = holder.Authorize(true, true)
	fmt.Println(err)
	// Output:
	// <nil>
	// 1 <nil>
	// orders: not now: the weight store's rate
}
