// Package linear checks recorded histories of concurrent claims and edits for
// linearizability: that they could have happened one after another.
package linear

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/pkg/kv"
	"github.com/croftyard/croftyard/pkg/once"
	"github.com/croftyard/croftyard/pkg/policy"
)

// history records calls with a logical clock.
type history struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *history) record(client int, input any, do func() any) {
	call := h.clock.Add(1)
	output := do()
	op := porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: h.clock.Add(1)}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, op)
}

// takeOrEnd is a step on a claim: take it, end it as done, or release it.
type takeOrEnd struct {
	kind    once.State
	attempt string
}

type answer int

const (
	granted answer = iota
	held
	done
	unknown
)

// claim is the state of one key in the model.
type claim struct {
	state   once.State
	attempt string
}

func claimModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{claim{}} },
		Step: func(state, input, output any) []any {
			return stepClaim(state.(claim), input.(takeOrEnd), output.(answer))
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

func stepClaim(s claim, in takeOrEnd, out answer) []any {
	if in.kind != once.Claimed {
		ended := claim{state: in.kind, attempt: in.attempt}
		if s.state != once.Claimed || s.attempt != in.attempt {
			return nil
		}
		if out == unknown {
			return []any{s, ended}
		}
		return []any{ended}
	}
	free := s.state == "" || s.state == once.Released
	taken := claim{state: once.Claimed, attempt: in.attempt}
	switch {
	case out == granted && free:
		return []any{taken}
	case out == held && s.state == once.Claimed, out == done && s.state == once.Done:
		return []any{s}
	case out == unknown && free:
		return []any{s, taken}
	case out == unknown:
		return []any{s}
	}
	return nil
}

func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		store := faulty.New(kv.NewMemory(time.Now), seed)
		store.Lost, store.Dropped, store.Down = 0.15, 0.1, 0.05
		var h history
		var clients sync.WaitGroup
		for client := range 5 {
			clients.Go(func() { claimant(&h, store, client) })
		}
		clients.Wait()
		result := porcupine.CheckOperationsTimeout(claimModel(), h.operations, time.Minute)
		require.Equal(t, porcupine.Ok, result, "seed %d", seed)
	}
}

func claimant(h *history, store kv.Store, client int) {
	ctx := context.Background()
	claims := once.NewClaims(store, time.Now)
	for n := range 4 {
		attempt := fmt.Sprintf("%d-%d", client, n)
		var mine *once.Claim
		h.record(client, takeOrEnd{once.Claimed, attempt}, func() any {
			taken, err := claims.Take(ctx, "k", attempt, time.Now().Add(time.Hour))
			mine = taken
			return answerOf(err)
		})
		if mine == nil {
			continue
		}
		kind, end := once.Released, mine.Release
		if n == 3 {
			kind, end = once.Done, mine.Done
		}
		h.record(client, takeOrEnd{kind, attempt}, func() any { return answerOf(end(ctx)) })
	}
}

func answerOf(err error) answer {
	switch {
	case err == nil:
		return granted
	case errors.Is(err, once.ErrHeld):
		return held
	case errors.Is(err, once.ErrDone):
		return done
	}
	return unknown
}

// TestTheCheckerCatches sees that the model refuses a double grant.
func TestTheCheckerCatches(t *testing.T) {
	double := []porcupine.Operation{
		{ClientId: 0, Input: takeOrEnd{once.Claimed, "a"}, Call: 1, Output: granted, Return: 2},
		{ClientId: 1, Input: takeOrEnd{once.Claimed, "b"}, Call: 3, Output: granted, Return: 4},
	}
	assert.False(t, porcupine.CheckOperations(claimModel(), double))
}

// edit is one operator's edit; its output is the version it became, 0 if refused
// and -1 if that is not known.
type edit struct{ id string }

type head struct {
	version int
	holds   string
}

func headModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{head{}} },
		Step: func(state, input, output any) []any {
			s, version := state.(head), output.(int)
			next := head{version: s.version + 1, holds: s.holds + input.(edit).id + " "}
			switch version {
			case 0:
				return []any{s}
			case -1:
				return []any{s, next}
			case next.version:
				return []any{next}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

func TestEditsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		store := faulty.New(kv.NewMemory(time.Now), seed)
		store.Lost, store.Dropped, store.Down = 0.15, 0.1, 0.05
		var h history
		var clients sync.WaitGroup
		for client := range 4 {
			clients.Go(func() { editor(&h, store, client) })
		}
		clients.Wait()
		result := porcupine.CheckOperationsTimeout(headModel(), h.operations, time.Minute)
		require.Equal(t, porcupine.Ok, result, "seed %d", seed)
	}
}

func editor(h *history, store kv.Store, client int) {
	ctx := context.Background()
	for n := range 3 {
		id := fmt.Sprintf("%d-%d", client, n)
		h.record(client, edit{id}, func() any {
			segments, err := policy.Split("linear", fmt.Appendf(nil, "[service s%d]\ntimeout = %ds\n", client, n+1))
			if err != nil {
				return 0
			}
			accepted, err := policy.Apply(ctx, store, policy.Proposal{ID: id, Put: segments, Base: baseOf(store)})
			switch {
			case err == nil:
				made, _ := accepted.EditByID(id)
				return int(made.Version)
			case errors.Is(err, policy.ErrOutcomeUnknown):
				return -1
			}
			return 0
		})
	}
}

// baseOf reads the version in force, or 0 while the service is down.
func baseOf(store kv.Store) uint64 {
	entry, err := store.Get(context.Background(), policy.HeadKey)
	if err != nil {
		return 0
	}
	decoded, err := policy.DecodeHead(entry.Value)
	if err != nil {
		return 0
	}
	return decoded.Version
}
