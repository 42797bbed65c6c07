package roles

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/placement"
)

// views returns the view of each of n routers that all know the others.
func views(n int) []Routers {
	var all []fleet.Instance
	for i := range n {
		all = append(all, fleet.Instance{Name: fmt.Sprintf("router-%d", i)})
	}
	var views []Routers
	for i := range all {
		others := append(append([]fleet.Instance(nil), all[:i]...), all[i+1:]...)
		views = append(views, Routers{Self: placement.Hash(all[i].Name), Live: others})
	}
	return views
}

func names(list []fleet.Instance) []string {
	var names []string
	for _, i := range list {
		names = append(names, i.Name)
	}
	return names
}

// A role that nobody held would leave its work undone; one that all held would ask the service too often.
func TestRoleIsHeldByAsManyAsItShould(t *testing.T) {
	for _, test := range []struct{ routers, holders, held int }{
		{routers: 1, holders: 3, held: 1},
		{routers: 3, holders: 3, held: 3},
		{routers: 40, holders: 3, held: 3},
	} {
		held := 0
		for _, v := range views(test.routers) {
			if v.Holds("role", test.holders) {
				held++
			}
		}
		assert.Equal(t, test.held, held, "%+v", test)
	}
}

// All routers without the role turn to those that hold it, and not all to the same one first.
func TestOthersAreTheHoldersInAnOrderOfTheirOwn(t *testing.T) {
	const routers, holders = 40, 3
	var held []string
	for i, v := range views(routers) {
		if v.Holds("role", holders) {
			held = append(held, fmt.Sprintf("router-%d", i))
		}
	}
	first := make(map[string]bool)
	for _, v := range views(routers) {
		if v.Holds("role", holders) {
			continue
		}
		asked := names(v.Others("role", holders))
		assert.ElementsMatch(t, held, asked)
		first[asked[0]] = true
	}
	assert.Len(t, first, holders)
	assert.Empty(t, Routers{}.Others("role", holders))
}
