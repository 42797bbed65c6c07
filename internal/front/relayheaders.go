package front

// Headers between routers. relayAttemptsHeader is how many replicas the request may still be
// sent to, relayShareHeader selects among the shares of its route. relayServiceHeader and
// relayOrganisationHeader are what the first router takes it for: the other one serves it only
// if its configuration, which may be older or newer, says the same. relayLenderHeader names the
// first router if it reaches no replica, and relayLentHeader is the part of its share of them
// that it leaves to the other one. relayOriginHeader is the software version at which the
// stream began, behind a "=", or empty if it is to begin; the other router then says in
// relayVersionHeader which version answers. relayExcludedHeader lists the replicas that a router
// excludes because of their own statements, in a request and in a refusal. In an answer, relayResultHeader stands in
// what a router generated itself, relaySentHeader is how many replicas the request was sent to,
// relayReplicaHeader is the one that answered.
const (
	relayAttemptsHeader     = "Relay-Attempts"
	relayShareHeader        = "Relay-Share"
	relayServiceHeader      = "Relay-Service"
	relayOrganisationHeader = "Relay-Organisation"
	relayLenderHeader       = "Relay-Lender"
	relayLentHeader         = "Relay-Lent"
	relayExcludedHeader     = "Relay-Excluded"
	relayOriginHeader       = "Relay-Origin"
	relayVersionHeader      = "Relay-Version"
	relayResultHeader       = "Relay-Result"
	relaySentHeader         = "Relay-Sent"
	relayReplicaHeader      = "Relay-Replica"
)

var relayHeaders = []string{
	relayAttemptsHeader, relayShareHeader, relayServiceHeader, relayOrganisationHeader, relayLenderHeader, relayLentHeader, relayExcludedHeader,
	relayOriginHeader, relayVersionHeader,
	relayResultHeader, relaySentHeader, relayReplicaHeader,
}

// Values of relayResultHeader.
const (
	// relayUnable: not run; another router may serve it.
	relayUnable = "unable"
	// relayDiffers: not run; by the other router's configuration it is another request, or none.
	relayDiffers = "differs"
	// relayFull: not run for want of room; another router may have some.
	relayFull = "full"
	// relayRefused: not run; other routers would refuse it too.
	relayRefused = "refused"
	// relayFailed: it may have run.
	relayFailed = "failed"
)
