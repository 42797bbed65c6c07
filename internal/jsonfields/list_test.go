package jsonfields

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an empty list that is taken for an absent one.
func TestEmptyListIsNotAbsent(t *testing.T) {
	type holder struct {
		List List[int] `json:"list,omitzero"`
	}
	for text, written := range map[string]string{`{}`: `{}`, `{"list":[]}`: `{"list":[]}`, `{"list":null}`: `{"list":[]}`, `{"list":[1,2]}`: `{"list":[1,2]}`} {
		var h holder
		require.NoError(t, json.Unmarshal([]byte(text), &h))
		assert.Equal(t, text == `{}`, h.List == nil)
		again, err := json.Marshal(h)
		require.NoError(t, err)
		assert.Equal(t, written, string(again))
	}
	assert.Error(t, json.Unmarshal([]byte(`{"list":{}}`), &holder{}))
}
