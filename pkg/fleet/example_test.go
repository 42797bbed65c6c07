package fleet_test

import (
	"fmt"
	"time"

	"github.com/croftyard/croftyard/pkg/fleet"
)

// A view corrects the platform's lagging list by observations.
func Example() {
	now := time.Now()
	view := fleet.NewView()
	view.SetList([]fleet.Instance{{Name: "engine-a", State: fleet.StateLive}}, now)
	view.MarkFailed("engine-a", now)
	fmt.Println(view.Health("engine-a", now), view.Health("engine-a", now.Add(2*time.Second)))
	// Output:
	// suspect live
}
