package poison_test

import (
	"fmt"
	"time"

	"github.com/croftyard/croftyard/pkg/poison"
)

// Two routers see three crashes between them and exchange their marks; then neither sends
// the request.
func Example() {
	limits := poison.Limits{Crashes: 3, Hold: 15 * time.Second}
	one, other := poison.New(poison.Options{Limits: limits}), poison.New(poison.Options{Limits: limits})
	request := poison.NewDigest("acme", "POST", "api.example", "/chat", []byte("the same body, under a new id each time"))

	now := time.Now()
	one.RecordCrash(request, 1, now, now)
	one.RecordCrash(request, 2, now, now)
	other.RecordCrash(request, 3, now, now)
	one.Merge(other.TakePending(), false, now)
	other.Merge(one.TakePending(), false, now)

	verdict := other.Check(request, now)
	fmt.Println(verdict.State == poison.Held, verdict.Crashes, verdict.RetryAfter)
	// Output: true 3 15s
}
