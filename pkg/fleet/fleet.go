// Package fleet is what one router believes of the others and of the targets.
//
//	platform's list (lagging) ─┐
//	own failures and successes ├─> View: who may get new work
//	leaving, told by peers     ─┘
//
//	Board: the newest load digest of every router, spread by Partners
//
// Nothing here is agreed on. Two routers may believe different things for
// seconds; the packages above are built so that this costs exactness only.
// The package does no I/O; time comes from the caller.
package fleet

// Role tells what an instance of the platform's list does.
type Role string

// The roles.
const (
	RoleRouter  Role = "router"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State is what the platform says of an instance.
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
	// Address is where requests go: the peers' listener of a router, the HTTP
	// listener of a target.
	Address string `json:"address"`
	State   State  `json:"state"`
	// Models and Adapters are what an engine serves.
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Service is the name of the plain service that a target runs.
	Service string `json:"service,omitempty"`
	// ChecksOrders tells that the target refuses orders of an older token.
	ChecksOrders bool `json:"checks_orders,omitempty"`
}
