package once_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/pkg/kv"
	"github.com/croftyard/croftyard/pkg/once"
)

// Claims a key, sends its request and completes the claim.
func Example() {
	ctx := context.Background()
	claims := once.NewClaims(kv.NewMemory(time.Now), time.Now)
	deadline := time.Now().Add(time.Minute)
	claim, err := claims.Take(ctx, "deposit-7", "attempt-1", deadline)
	if err == nil && claim.CheckDeadline() == nil {
		fmt.Println("recorded")
		err = claim.Done(ctx)
	}
	fmt.Println(err)
	_, err = claims.Take(ctx, "deposit-7", "attempt-2", deadline)
	fmt.Println(errors.Is(err, once.ErrDone))
	// Output:
	// recorded
	// <nil>
	// true
}
