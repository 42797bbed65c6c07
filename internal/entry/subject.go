package entry

import (
	"time"

	"github.com/croftyard/croftyard/internal/admin"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/rollout"
)

// State is the state dump of a router that serves routes.
type State struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Ready      bool           `json:"ready"`
	Version    uint64         `json:"version"`
	ProofMS    int64          `json:"proof_ms"`
	Active     int            `json:"active"`
	Routers    int            `json:"routers"`
	Rank       int            `json:"rank"`
	Replicas   []ReplicaState `json:"replicas"`
	Rollouts   []rollout.View `json:"rollouts,omitempty"`
	// Services are those without engines, while admission control is on.
	Services []ServiceState `json:"services,omitempty"`
}

// ReplicaState is what the router believes of one replica.
type ReplicaState struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	Version    string `json:"version,omitempty"`
	DataCentre string `json:"data_centre"`
	Draining   bool   `json:"draining"`
	Suspected  bool   `json:"suspected"`
	// Excluded is why it gets no new requests, empty if it may get some; ExcludedMS is for
	// how much longer, 0 if that is not known.
	Excluded   string `json:"excluded,omitempty"`
	ExcludedMS int64  `json:"excluded_ms,omitempty"`
}

// State returns the state dump.
func (e *Entry) State() State {
	now := steady.Now()
	s := State{
		Name:       e.settings.Name,
		DataCentre: e.settings.DataCentre,
		Ready:      e.Ready(),
		Version:    e.watcher.Digest().Version,
		ProofMS:    e.proofAge(now).Milliseconds(),
		Active:     e.front.ActiveRequests(),
		Routers:    e.gossip.MemberCount(),
		Rank:       e.gossip.Rank(),
		Rollouts:   e.balancer.Rollouts().Views(now),
		Services:   e.serviceStates(now),
	}
	for _, r := range e.watcher.Replicas() {
		state := ReplicaState{
			ID:         r.ID,
			Service:    r.Service,
			Address:    r.Address,
			Version:    r.Version,
			DataCentre: r.DataCentre,
			Draining:   r.State == directory.Draining,
			Suspected:  e.balancer.Suspected(r.ID, now),
		}
		if x, excluded := e.front.Exclusion(r.ID, now); excluded {
			state.Excluded = string(x.Reason)
			state.ExcludedMS = max(x.Until.Sub(now).Milliseconds(), 0)
		}
		s.Replicas = append(s.Replicas, state)
	}
	return s
}

// proofAge returns the age of the proof, or -1 ms while nothing is known.
func (e *Entry) proofAge(now time.Time) time.Duration {
	if !e.watcher.Initialized() {
		return -time.Millisecond
	}
	return e.watcher.Staleness(now)
}

// subject exposes the router to its operators.
func (e *Entry) subject() admin.Subject {
	return admin.Subject{State: func() any { return e.State() }, Registry: e.metrics.Registry, Gauges: e.gauges}
}

func (e *Entry) gauges() []admin.Gauge {
	generation, returns, facts := e.watcher.Generation(steady.Now())
	made, failed := e.watcher.Reads()
	sent, received := e.gossip.Bytes()
	marked, held := e.poison.Counts()
	markedParts, heldParts := e.parts.Counts()
	draining, resting := e.watcher.Statements().CountExcluded(steady.Now())
	return []admin.Gauge{
		{Name: "croftyard_config_version", Value: float64(e.watcher.Digest().Version)},
		{Name: "croftyard_config_proof_ms", Value: float64(e.proofAge(steady.Now()).Milliseconds())},
		{Name: "croftyard_source_reads", Value: float64(made)},
		{Name: "croftyard_source_reads_failed", Value: float64(failed)},
		{Name: "croftyard_source_generation", Value: float64(generation)},
		{Name: "croftyard_source_returns", Value: float64(returns)},
		{Name: "croftyard_source_held", Value: float64(len(facts.Replicas) + len(facts.Evacuated))},
		{Name: "croftyard_peers_routers", Value: float64(e.gossip.MemberCount())},
		{Name: "croftyard_peers_retry_parts", Value: e.gossip.RetryParts()},
		{Name: "croftyard_peers_older", Value: float64(e.gossip.OlderFormatPeers())},
		{Name: "croftyard_peers_sent_bytes", Value: float64(sent)},
		{Name: "croftyard_peers_received_bytes", Value: float64(received)},
		{Name: "croftyard_peers_unsent", Value: float64(e.gossip.UnsentDatagrams())},
		{Name: "croftyard_peers_refused", Value: float64(e.gossip.RefusedRequests())},
		{Name: "croftyard_peers_rejected", Value: float64(e.gossip.RejectedMessages())},
		{Name: "croftyard_replicas_draining", Value: float64(draining)},
		{Name: "croftyard_replicas_resting", Value: float64(resting)},
		{Name: "croftyard_poison_marked", Value: float64(marked)},
		{Name: "croftyard_poison_held", Value: float64(held)},
		{Name: "croftyard_poison_marked_parts", Value: float64(markedParts)},
		{Name: "croftyard_poison_held_parts", Value: float64(heldParts)},
		{Name: "croftyard_front_held_bytes", Value: float64(e.front.Held().Used())},
		{Name: "croftyard_front_held_limit_bytes", Value: float64(e.front.Held().Limit())},
		{Name: "croftyard_front_held_rejected", Value: float64(e.front.Held().Rejected())},
		{Name: "croftyard_front_versions_unrecorded", Value: float64(e.unrecordedVersions())},
		{Name: "croftyard_front_active", Value: float64(e.front.ActiveRequests())},
		{Name: "croftyard_front_connections_idle", Value: float64(e.pool.Idle())},
		{Name: "croftyard_log_lines_dropped", Value: float64(e.env.LogDropped())},
	}
}
