package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/mechanism"
)

// Checks that each mechanism changes a decision, since one that can be left out without
// any difference has no effect.
func TestEachMechanismMakesADifference(t *testing.T) {
	home := pickFrom(newBalancer(engines(12)), "dc0", prompt(5)).Replica
	replace := func(b *Balancer) {
		b.SetReplicas(slices.DeleteFunc(engines(12), func(r directory.Replica) bool { return r.ID == home.ID }), start)
	}
	failAll := func(b *Balancer) {
		for i := range 12 {
			b.RequestFailed(fmt.Sprintf("i-%d", i), Refused, "dc0", start)
		}
	}
	cases := map[string]func(b *Balancer) any{
		"holders": func(b *Balancer) any {
			b.RequestSucceeded("i-7", prompt(5), start)
			return pickFrom(b, "dc0", prompt(5)).Replica.ID
		},
		"copies": func(b *Balancer) any {
			b.RequestSucceeded(home.ID, prompt(5), start)
			return pick(t, b, prompt(5), start, home.ID).CopySource
		},
		"near": func(b *Balancer) any {
			var ids []string
			for _, centre := range []string{"dc0", "dc1", "dc2"} {
				ids = append(ids, pickFrom(b, centre, smallPrompt(5)).Replica.ID)
			}
			return ids
		},
		"leavers": func(b *Balancer) any {
			b.RequestSucceeded(home.ID, prompt(5), start)
			replace(b)
			return pickFrom(b, "dc0", prompt(5)).CopySource
		},
		"bound": func(b *Balancer) any {
			for range 20 {
				b.RequestStarted(home.ID)
			}
			return pickFrom(b, "dc0", prompt(5)).Replica.ID
		},
		"silence": func(b *Balancer) any {
			b.SetCentreSilent(home.DataCentre, true)
			return pickFrom(b, "elsewhere", prompt(5)).Replica.ID
		},
		"pace": func(b *Balancer) any {
			for i := range 12 {
				took := 20 * time.Millisecond
				if fmt.Sprintf("i-%d", i) == home.ID {
					took *= 8
				}
				for range minPaceSamples {
					b.RecordDuration(fmt.Sprintf("i-%d", i), took)
				}
			}
			return pickFrom(b, "dc0", prompt(5)).Replica.ID
		},
		"evidence": func(b *Balancer) any {
			succeedAll(b, 12, 10, start)
			b.RequestFailed(home.ID, Broke, "dc0", start)
			return pickFrom(b, "dc0", prompt(5)).Replica.ID
		},
		"rumors": func(b *Balancer) any {
			b.MergePeer("other", PeerUpdate{Rumors: Rumors{Failures: []ObservedFailure{{ReplicaHash(home.ID), Refused, start}}}}, start)
			return pickFrom(b, "dc0", prompt(5)).Replica.ID
		},
		"last_resort": func(b *Balancer) any {
			failAll(b)
			b.RequestStarted(home.ID)
			return pickFrom(b, "dc0", prompt(5)).Replica.ID
		},
		"rates": func(b *Balancer) any {
			b.SetEstimator(fixedEstimates{})
			return pickFrom(b, "dc0", nil).Reason
		},
	}
	for name, decide := range cases {
		t.Run(name, func(t *testing.T) {
			with, without := newBalancer(engines(12)), newBalancer(engines(12))
			set, err := mechanism.Parse(name)
			require.NoError(t, err)
			without.DisableMechanisms(set)
			assert.NotEqual(t, decide(with), decide(without))
		})
	}
}
