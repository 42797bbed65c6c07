package policy_test

import (
	"context"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/pkg/kv"
	"github.com/croftyard/croftyard/pkg/policy"
)

// An edit comes into force, and a router adopts the resulting snapshot.
func Example() {
	ctx := context.Background()
	store := kv.NewMemory(time.Now)
	segments, err := policy.Split("fleet.ini", []byte("[group agents]\norganisation = harrowgate\nshare = 3\n"))
	if err != nil {
		fmt.Println(err)
		return
	}
	head, err := policy.Apply(ctx, store, policy.Proposal{ID: "edit-1", At: time.Now(), Put: segments})
	if err != nil {
		fmt.Println(err)
		return
	}
	snapshot, err := policy.LoadSnapshot(ctx, store, head, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	var adopted policy.ActiveSnapshot
	fmt.Println(adopted.AdoptIfNewer(snapshot), adopted.Current().Groups["agents"].Share)
	// Output:
	// true 3
}
