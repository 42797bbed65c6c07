package admission_test

import (
	"fmt"
	"time"

	"github.com/croftyard/croftyard/pkg/admission"
)

// A refusal by the surge limit tells when to retry.
func Example() {
	limits := admission.NewLimits()
	limits.StartFull()
	limit := admission.Limit{Rate: 100, Burst: 200}
	now := time.Now()
	for range 3 {
		if refusal := limits.Admit(now, "lockside", limit, 100, 1); refusal != nil {
			fmt.Println(refusal.Reason, refusal.NotRun, refusal.RetryAfter)
		}
	}
	// Output:
	// surge_limit true 1s
}
