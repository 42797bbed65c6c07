package gossip

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/route"
)

// Guards against a router of an earlier build that sends a configuration without organisations, by
// which keys that were removed would work again.
func TestConfigurationWithoutKeyRuleIsNotTaken(t *testing.T) {
	organisation := []route.Organisation{{Name: "a", Keys: []string{"k"}}}
	for name, test := range map[string]struct {
		config any
		taken  bool
	}{
		"earlier build, no organisation":   {struct{ Version uint64 }{2}, false},
		"earlier build, with organisation": {struct{ Organisations []route.Organisation }{organisation}, true},
		"none left":                        {route.Config{Keys: route.KeysRequired}, true},
		"never any":                        {route.Config{Keys: route.KeysNotRequired}, true},
	} {
		t.Run(name, func(t *testing.T) {
			packed, err := pack(test.config)
			require.NoError(t, err)
			k, err := decodeKnowledge(&gossippb.KnowledgeReply{Version: 2, Configuration: packed}, watch.KnowledgeRequest{})
			require.NoError(t, err)
			assert.Equal(t, test.taken, k.Config != nil)
		})
	}
}
