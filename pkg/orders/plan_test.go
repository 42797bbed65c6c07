package orders

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestMissingLoadsDoNotDependOnTheOrderOfEngines(t *testing.T) {
	open := []Candidate{{Hash: 1}, {Hash: 2}, {Hash: 3}, {Hash: 4}}
	first := EnginesToLoad(open, "a", 2)
	assert.Len(t, first, 2)
	assert.Equal(t, first, EnginesToLoad([]Candidate{open[3], open[1], open[0], open[2]}, "a", 2))
	for i := range open {
		if open[i].Hash == first[0] {
			open[i].Adapters = []string{"a"}
		}
	}
	assert.Equal(t, first[1:], EnginesToLoad(open, "a", 2), "an adapter already loaded is not ordered again")
	assert.Len(t, EnginesToLoad(open, "b", 9), 4)
	assert.Empty(t, EnginesToLoad(open, "b", 0))
	assert.Empty(t, EnginesToLoad(nil, "b", 2))
}

func TestAdapters(t *testing.T) {
	assert.Equal(t, []string{"a", "b"}, Adapters([]string{"b", "*", "a", "b"}, "*"))
}
