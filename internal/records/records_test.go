package records

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// restoredStore holds a list in pages and returns to an earlier state in a new generation, which
// no changes lead to.
type restoredStore struct {
	records    int
	generation uint64
	pages      int
}

func (s *restoredStore) Page(_ context.Context, prefix, after string) (Page, error) {
	const size = 100
	s.pages++
	p := Page{Origin: Origin{Generation: s.generation, At: 10}}
	if prefix != "" && prefix != "r" {
		return p, nil
	}
	for n := range s.records {
		key := fmt.Sprintf("r%05d", n)
		if key <= after {
			continue
		}
		if p.More = len(p.Records) == size; p.More {
			break
		}
		p.Records = append(p.Records, &Record{Key: key, Revision: 1})
	}
	return p, nil
}

func (s *restoredStore) Changes(context.Context, uint64) (Changes, error) {
	return Changes{}, ErrHistoryUnavailable
}

// Guards against a long list that is read in full for requests, at all routers at once, after
// the store was restored or has forgotten its history.
func TestLongListIsNotReadInFullForARequest(t *testing.T) {
	for _, count := range []int{maxOwnRead, maxOwnRead + 1} {
		store := &restoredStore{records: count, generation: 1}
		reader := NewReader(store, "probe")
		_, err := reader.All(t.Context())
		require.NoError(t, err)
		store.generation, store.pages = 2, 0
		list, err := reader.Some(t.Context(), "r", "probe")
		if count <= maxOwnRead {
			require.NoError(t, err)
			assert.Len(t, list.Records, count)
			continue
		}
		assert.ErrorIs(t, err, ErrLongList)
		assert.Equal(t, 1, store.pages, "the revision")
		list, err = reader.All(t.Context())
		require.NoError(t, err)
		assert.Len(t, list.Records, count, "read in turn")
	}
}
