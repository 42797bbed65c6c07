// Package fleet holds one router's view of the other routers and of the targets.
//
//	platform's list (lagging)    ─┐
//	observed failures, successes  ├─> View: which targets may get new work
//	departures reported by peers ─┘
//
//	DigestTable: the newest load digest of every router, sent to Partners
//
// There is no consensus. Routers may disagree for seconds; the packages that use this one
// are built so that this costs only accuracy. The package does no I/O; callers pass the time.
package fleet

// Role is the function of an instance in the platform's list.
type Role string

// The roles.
const (
	RoleRouter  Role = "router"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State is the state of an instance according to the platform.
type State string

// The states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one row of the platform's list.
type Instance struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	// Address is the listener for requests: that for peers of a router, the HTTP listener of
	// a target.
	Address string `json:"address"`
	State   State  `json:"state"`
	// Models and Adapters are those that an engine serves.
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Service is the name of the plain service that a target runs.
	Service string `json:"service,omitempty"`
	// ChecksOrders is set if the target refuses orders with an older token.
	ChecksOrders bool `json:"checks_orders,omitempty"`
}
