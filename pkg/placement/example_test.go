package placement_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/croftyard/croftyard/pkg/placement"
)

// A router divides the engines into groups, chooses a chat's group and seals a token for
// the engine that served.
func Example() {
	engines := []uint64{placement.Hash("engine-a"), placement.Hash("engine-b"), placement.Hash("engine-c")}
	routers := []uint64{placement.Hash("router-1"), placement.Hash("router-2")}
	layout := placement.NewLayout(placement.Hash("north/drafting"), engines, routers, placement.DefaultGroupSize)

	loads := make(placement.Loads, len(layout.Groups))
	rnd := rand.New(rand.NewPCG(1, 2))
	choice := layout.Choose(placement.Request{Chat: placement.Hash("chat-7"), Engine: placement.None}, loads, 1.15, rnd)
	fmt.Println("placed by", choice.Origin)

	keys := placement.TokenKeys{Current: []byte("a secret of sixteen or more bytes")}
	text := keys.Seal(placement.Token{Engine: engines[1]})
	token, err := keys.Open(text)
	fmt.Println(token.Engine == engines[1], err)
	// Output:
	// placed by chat
	// true <nil>
}
