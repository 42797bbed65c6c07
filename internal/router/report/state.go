// Package report holds what a router shows its operators, as JSON: its state, and where it would send
// a request. The fields' names are stable.
package report

// State is a router's state. Secrets are left out.
type State struct {
	Name          string     `json:"name"`
	DataCentre    string     `json:"data_centre"`
	Ready         bool       `json:"ready"`
	Draining      bool       `json:"draining"`
	Active        int64      `json:"active_requests"`
	ConfigVersion uint64     `json:"config_version"`
	Groups        []string   `json:"groups"`
	Pools         []Pool     `json:"pools"`
	Instances     []Instance `json:"instances"`
	Peers         int        `json:"peers_heard"`
	Control       Control    `json:"control"`
	PlatformCalls uint64     `json:"platform_calls"`
	Demands       []Demand   `json:"demands"`
}

// Pool is one model in one data centre.
type Pool struct {
	DataCentre string  `json:"data_centre"`
	Model      string  `json:"model"`
	MeanLoad   float64 `json:"mean_load"`
	Groups     []Group `json:"groups"`
}

// Group is one group of engines.
type Group struct {
	Owner   string   `json:"owner"`
	Load    float64  `json:"load"`
	Waiting int      `json:"waiting"`
	Engines []Engine `json:"engines"`
}

// Engine is one engine as this router sees it.
type Engine struct {
	Name     string  `json:"name"`
	InFlight int     `json:"in_flight"`
	Foreign  int     `json:"foreign"`
	Closed   bool    `json:"closed"`
	Ramp     float64 `json:"ramp"`
}

// Instance is one row of the live view.
type Instance struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Health  string `json:"health"`
}

// Control is what control traffic has cost so far.
type Control struct {
	SentBytes     uint64 `json:"sent_bytes"`
	ReceivedBytes uint64 `json:"received_bytes"`
	Calls         uint64 `json:"calls"`
}

// Demand is what an organisation asks of this router.
type Demand struct {
	Organisation string  `json:"organisation"`
	Demand       float64 `json:"demand"`
	Others       float64 `json:"others"`
}
