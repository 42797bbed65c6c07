package watch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/route"
)

type noSource struct{}

func (noSource) Read(context.Context) (Snapshot, error)     { return Snapshot{}, ErrNoConfig }
func (noSource) Replicas(context.Context) (Snapshot, error) { return Snapshot{}, ErrNoConfig }

func TestBadEntryIsLoggedOnceAndAffectsNoOther(t *testing.T) {
	log := event.Discard()
	f := New(noSource{}, Options{}, directory.New(time.Hour, time.Hour), freshness.NewHolder(), balance.New(1), log)
	good := []directory.Replica{{ID: "a", Service: "s", Address: "a:1"}, {ID: "b", Service: "s", Address: "b:1"}}
	unusable := []directory.Replica{{ID: "a", State: directory.Unusable}, {ID: "b", Service: "s", Address: "b:1"}}
	apply := func(n int, replicas []directory.Replica, revisions ...uint64) {
		s := Snapshot{Config: &route.Config{Version: 1}, Replicas: replicas}
		for _, revision := range revisions {
			s.BadReplicas = append(s.BadReplicas, BadEntry{Key: "k", Revision: revision, Err: errors.New("unusable")})
		}
		f.ApplySnapshot(s, time.Now().Add(time.Duration(n)*time.Millisecond))
	}
	steps := []struct {
		replicas []directory.Replica
		revision []uint64
		logged   uint64
		ready    bool
	}{
		{good, nil, 0, true},
		{unusable, []uint64{5}, 1, false},
		{unusable, []uint64{5}, 1, false},
		{unusable, []uint64{6}, 2, false},
		{good, nil, 2, true},
		{unusable, []uint64{9}, 3, false},
	}
	for n, s := range steps {
		apply(n, s.replicas, s.revision...)
		assert.Equal(t, s.logged, log.Count(event.ReplicaUnreadable), n)
		assert.Equal(t, s.ready, f.Ready("a"), n)
		assert.True(t, f.Ready("b"), n)
	}
}
