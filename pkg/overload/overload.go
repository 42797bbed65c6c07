// Package overload decides which requests a service without room for all of them takes.
//
//	Arrived, Answered, Rejected   record what this router sees of a service
//	Report, GroupReport           return what other routers need to know
//	MergeReport, RemoveSource     take what they sent
//	Decide                        admits a request, or says when to return
//	Estimate                      tells what one replica takes, for placement
//
// A router sees one request of such a service a second, so it decides by the sums over all
// routers. They are exponentially decayed rates: those of several routers add up to the rate
// of the fleet. A report of another router counts as it arrived until it expires. No router
// owns a service, and each computes the same limit from about the same sums.
//
// A request is refused only while requests wait or are rejected at the service's replicas, or
// did so some seconds ago, and for its share only if that surges. The package does no I/O; time comes from the caller, randomness from a seed.
package overload

import "time"

// Share identifies who competes for a service: an organisation at one priority.
type Share struct {
	// Organisation is its name; empty for callers without a key.
	Organisation string
	// Priority is 0 for the most urgent.
	Priority int
}

// Replica is a replica that this router may send requests to.
type Replica struct {
	// Hash identifies the replica among routers.
	Hash uint32
	// Slots is how many requests it runs concurrently; 0 if unknown.
	Slots int
}

// Request describes a request to be decided on.
type Request struct {
	Service string
	Share   Share
	// Target is the time within which an answer is worth most, Left the time until the
	// deadline. A target of 0 means that none is configured.
	Target, Left time.Duration
	// Usable are the replicas of the service that this router may use now.
	Usable []Replica
}

// Reason says why a request was refused.
type Reason string

// Reasons for a refusal.
const (
	// OverShare: the service has no room for all, and the demand of the share surges beyond
	// its part.
	OverShare Reason = "over its share"
	// TooLate: the answer would come after the deadline.
	TooLate Reason = "too late"
)

// Decision is the result of Decide.
type Decision struct {
	Admitted bool
	// Reason and RetryAfter are set if the request is refused.
	Reason     Reason
	RetryAfter time.Duration
	// Status is what the decision is based on.
	Status Status
	// Offered is the demand of the request's share and Granted the rate that it may have,
	// in requests per second. Granted is not less than Offered while nothing is limited.
	Offered, Granted float64
}

// Status describes a service, in requests per second.
type Status struct {
	// Limiting is set while the service is contended and has less room than is asked for.
	Limiting bool
	// Wait is the mean time that requests wait at the usable replicas, Took the mean time
	// that answers take, wait included.
	Wait, Took time.Duration
	// Capacity is what the usable replicas can answer, Limit what they have room for now,
	// Demand what all routers are asked for. More than the limit is admitted as far as no
	// share surges.
	Capacity, Limit, Demand float64
}

// Estimate is what is known of one replica.
type Estimate struct {
	// Capacity is the requests per second that the replica can answer.
	Capacity float64
	// Wait is the mean time that requests wait there, Took the mean time that answers take,
	// wait included.
	Wait, Took time.Duration
}

// Report is what one router, or a group of them, saw.
type Report struct {
	Replicas []ReplicaReport
	Shares   []ShareReport
}

// ReplicaReport holds the rates at one replica, per second.
type ReplicaReport struct {
	// Replica is the replica's hash.
	Replica uint32
	// Answered counts answers, Rejected requests that the replica did not take.
	Answered, Rejected float64
	// Busy is the sum of the durations of the answers, in seconds per second: by Little's
	// law, how many requests are at the replica.
	Busy float64
}

// ShareReport holds the demand of one share of a service.
type ShareReport struct {
	// Service and Organisation are hashes of the names.
	Service, Organisation uint32
	Priority              int
	// Offered is the requests per second, refused ones included.
	Offered float64
	// Usual is the same with a time constant of a minute. Both are sent, so that a surge of
	// one share can be told from a rise of all.
	Usual float64
}
