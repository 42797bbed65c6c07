package owner_test

import (
	"fmt"
	"time"

	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/owner"
)

// An owner grants engines, and queues requests that have to wait.
func Example() {
	now := time.Now()
	group := owner.NewGroup(100, owner.Hooks[string]{
		Grant:  func(t *owner.Ticket[string]) { fmt.Println(t.Payload, "runs") },
		Reject: func(*owner.Ticket[string], *admission.Refusal) {},
	})
	group.SetEngines([]*owner.Engine{owner.NewEngine(1, 1)})
	request := owner.Request{Flow: "agents", Share: 1, Deadline: now.Add(time.Minute), Work: 500, Bound: 1.15, LastHop: true}
	first := &owner.Ticket[string]{Request: request, Payload: "first"}
	second := &owner.Ticket[string]{Request: request, Payload: "second"}
	fmt.Println(group.Enter(first, now), group.Enter(second, now), group.Waiting())
	group.Finish(first, true, now.Add(time.Second))
	// Output:
	// first runs
	// <nil> <nil> 1
	// second runs
}
