package event

import (
	"github.com/sirupsen/logrus"
)

// Entry describes an event.
type Entry struct {
	Level logrus.Level
	// Text is the message of the log line.
	Text string
	// Advice tells an operator what it means and what to do.
	Advice string
}

// The events. 1xx process, 2xx configuration, 3xx fleet, 4xx requests,
// 5xx platform, 6xx orders.
const (
	Starting          ID = 101
	Ready             ID = 102
	Draining          ID = 103
	Stopped           ID = 104
	DrainCut          ID = 105
	Failed            ID = 106
	LogLevel          ID = 107
	SettingsReloaded  ID = 108
	SettingsRejected  ID = 109
	CallersEnded      ID = 110
	Exhausted         ID = 111
	Woke              ID = 112
	ConfigAdopted     ID = 201
	ConfigRejected    ID = 202
	ConfigFromPeer    ID = 203
	ConfigAbsent      ID = 204
	EngineSuspect     ID = 301
	EngineBack        ID = 302
	TargetLeaving     ID = 303
	LayoutChanged     ID = 304
	PeerLost          ID = 305
	PeerBack          ID = 306
	ReplicaChanged    ID = 307
	ReplicaUnreadable ID = 308
	CentreSilent      ID = 309
	EngineAsked       ID = 310
	ProofOld          ID = 311
	ProofNew          ID = 312
	CentreHeard       ID = 313
	ConnsSilent       ID = 314
	CentreEvacuated   ID = 315
	CentreReturned    ID = 316
	ReplicaDraining   ID = 317
	ReplicaResting    ID = 318
	ReplicasChanged   ID = 319
	RolloutChanged    ID = 320
	RolloutPhase      ID = 321
	RolloutWritten    ID = 322
	ServiceLost       ID = 323
	ServiceReached    ID = 324
	ListFirst         ID = 325
	PeerUnreadable    ID = 326
	RequestServed     ID = 401
	RequestRefused    ID = 402
	RequestBroken     ID = 403
	RequestRetried    ID = 404
	AnswerCrossed     ID = 405
	StreamResumed     ID = 406
	ClaimUnsettled    ID = 407
	TokenIgnored      ID = 408
	CallerGone        ID = 409
	ReplicaChosen     ID = 410
	RequestSampled    ID = 411
	RequestLate       ID = 412
	BudgetSpent       ID = 413
	CallerConnExpired ID = 414
	HandlerFailed     ID = 415
	ListOld           ID = 416
	ListNew           ID = 417
	ReplicaEnded      ID = 418
	RequestHeld       ID = 419
	RequestCleared    ID = 420
	ServiceOverloaded ID = 421
	ServiceHasRoom    ID = 422
	MemoryFull        ID = 423
	MemoryFree        ID = 424
	RequestRelayed    ID = 425
	AnswerUndelimited ID = 426
	PartHeld          ID = 427
	PartCleared       ID = 428
	StopEstimate      ID = 429
	StreamTakenUp     ID = 430
	ServedRead        ID = 431
	ServedWritten     ID = 432
	HeldRead          ID = 433
	HeldWritten       ID = 434
	PlatformDown      ID = 501
	PlatformBack      ID = 502
	SourceRewound     ID = 503
	SourcePast        ID = 504
	SourceUntold      ID = 505
	OrderLease        ID = 601
	OrderSent         ID = 602
	OrderHeldBack     ID = 603

	lastID = 700
)

var catalogue = map[ID]Entry{
	Starting:          {logrus.InfoLevel, "process starts", "None needed."},
	Ready:             {logrus.InfoLevel, "ready for requests", "None needed. /readyz answers 200 from here on."},
	Draining:          {logrus.InfoLevel, "stop asked for, no new requests", "None needed. What is in flight finishes first."},
	Stopped:           {logrus.InfoLevel, "process ends", "None needed."},
	DrainCut:          {logrus.WarnLevel, "drain limit reached, requests cut", "Raise drain in [limits] if answers take longer than it allows."},
	Failed:            {logrus.ErrorLevel, "process cannot go on", "Read the error; the process ends with exit code 1."},
	LogLevel:          {logrus.InfoLevel, "log level changed", "None needed."},
	SettingsReloaded:  {logrus.InfoLevel, "settings read again", "If restart_needed is true, names, addresses or admission control changed: restart the process."},
	SettingsRejected:  {logrus.ErrorLevel, "changed settings not usable, those in force stay", "Mend the file; every error in it is named."},
	CallersEnded:      {logrus.InfoLevel, "callers' connections closed", "found_unread counts requests that came as a connection was to be closed; they were served. in_use are cut. records_handed_over are those of streams that this router held for a large fleet."},
	Exhausted:         {logrus.ErrorLevel, "no file descriptor left, resting connections to replicas closed", "Raise the limit of open files, or look at who opens so many connections."},
	Woke:              {logrus.WarnLevel, "the machine was suspended", "None needed: what was known is proven anew before it is acted on. If it recurs, look why the machine is suspended."},
	ConfigAdopted:     {logrus.InfoLevel, "configuration in force", "None needed. The version never goes down."},
	ConfigRejected:    {logrus.ErrorLevel, "configuration not usable, the one in force stays", "Look at the head with croftyardctl history; apply a correct version."},
	ConfigFromPeer:    {logrus.InfoLevel, "configuration taken from a peer", "None needed. Seen while the platform's service is slow or down."},
	ConfigAbsent:      {logrus.WarnLevel, "no configuration found yet", "Apply one with croftyardctl apply; the process is not ready before."},
	EngineSuspect:     {logrus.WarnLevel, "target failed a request", "If it lasts, look at the target. It is passed over only where that stands out against the others; 410 tells."},
	EngineBack:        {logrus.InfoLevel, "target answers again", "None needed."},
	TargetLeaving:     {logrus.InfoLevel, "target leaves, no new work for it", "None needed."},
	LayoutChanged:     {logrus.DebugLevel, "engines divided anew", "None needed."},
	PeerLost:          {logrus.WarnLevel, "peer does not answer", "If it lasts for many peers, look at the network between instances."},
	PeerBack:          {logrus.InfoLevel, "peer answers again", "None needed."},
	ReplicaChanged:    {logrus.InfoLevel, "replica joined, drains, is cold, warm or gone", "None needed."},
	ReplicaUnreadable: {logrus.WarnLevel, "entry is not a replica's, left out", "Look at who wrote the key named; the replica, if there is one, gets no work until it writes its entry again."},
	CentreSilent:      {logrus.WarnLevel, "no router of a data centre is heard", "Its replicas get no work from here until one is. Look at the network between data centres."},
	EngineAsked:       {logrus.InfoLevel, "engine asked what it holds", "None needed. Seen after a start of all routers."},
	ProofOld:          {logrus.WarnLevel, "configuration not proven new enough for keys", "Requests with keys are refused. Look at the platform and at the peers."},
	ProofNew:          {logrus.InfoLevel, "configuration proven new enough again", "None needed."},
	CentreHeard:       {logrus.InfoLevel, "a router of a silent data centre is heard again", "None needed."},
	ConnsSilent:       {logrus.WarnLevel, "kept connections went silent, dropped", "If frequent, look at what stands between: a firewall or proxy that forgets connections."},
	CentreEvacuated:   {logrus.WarnLevel, "data centre evacuated, nothing more is sent to its replicas", "None needed. It holds until the operator takes it back."},
	CentreReturned:    {logrus.InfoLevel, "evacuated data centre taken back", "None needed. Its replicas get little until they are warm."},
	ReplicaDraining:   {logrus.InfoLevel, "replica announced its shutdown in an answer", "None needed. It holds until the replica starts again, whatever the list says."},
	ReplicaResting:    {logrus.InfoLevel, "replica asked for no requests for a time", "None if it ends. rest_ms is how long; one of hours is a fault of the replica's: restart it."},
	ReplicasChanged:   {logrus.InfoLevel, "many replicas changed at once", "None needed. Seen at a start, in a release, and when a data centre is lost; change and replicas tell what and how many."},
	RolloutChanged:    {logrus.InfoLevel, "order or status of a roll-out was written or deleted", "None needed. croftyardctl rollout shows what is held."},
	RolloutPhase:      {logrus.WarnLevel, "roll-out of a version goes on or ends", "None if it shifts or completes. If it is rolled back, reason tells by which evidence."},
	RolloutWritten:    {logrus.InfoLevel, "status of a roll-out written to the platform's store", "None needed. With an error: it is read and tried again."},
	ServiceLost:       {logrus.WarnLevel, "replicas of a service are out of reach from here", "Its requests go to other routers. If it lasts, look at the network between this instance and the replicas."},
	ServiceReached:    {logrus.InfoLevel, "replicas of a service are within reach again", "None needed."},
	ListFirst:         {logrus.InfoLevel, "first list of replicas", "None needed. from is the peer that passed it on, or store; after_ms counts from the start. If it is from the store at most routers of a large fleet, look whether they reach each other."},
	PeerUnreadable:    {logrus.WarnLevel, "message of another router not usable, ignored", "None during an upgrade: the peer may be of a build that sends more. Else look at who sends from the address named, and at the network."},
	RequestServed:     {logrus.DebugLevel, "request served", "None needed."},
	RequestRefused:    {logrus.InfoLevel, "request refused", "See the reason; OPERATIONS.md has a page for each."},
	RequestBroken:     {logrus.WarnLevel, "answer broken off", "The caller was told. If frequent, look at the target named."},
	RequestRetried:    {logrus.InfoLevel, "request tried again", "None needed; only requests that cannot have run, or may be repeated."},
	AnswerCrossed:     {logrus.ErrorLevel, "answer of another request dropped", "The target mixes up answers. Take it out of service."},
	StreamResumed:     {logrus.InfoLevel, "stream resumed at its offset", "None needed."},
	ClaimUnsettled:    {logrus.WarnLevel, "claim's outcome unknown", "The caller was told so. Look at the platform's service."},
	TokenIgnored:      {logrus.DebugLevel, "chat token ignored", "None needed, unless frequent after a key change: keep previous_chat_key set for a day."},
	CallerGone:        {logrus.InfoLevel, "caller went away, work cancelled", "None needed."},
	ReplicaChosen:     {logrus.InfoLevel, "replica chosen", "None needed."},
	RequestSampled:    {logrus.InfoLevel, "request served, one of many", "None needed."},
	RequestLate:       {logrus.InfoLevel, "request served late or after a repeat", "None needed. The lines of the same request tell why."},
	BudgetSpent:       {logrus.WarnLevel, "no repeat left in the budget", "Look at the replicas of the service that fail; the budget keeps them from being asked twice as often. left is what this router could still make by itself; others were asked as well."},
	CallerConnExpired: {logrus.DebugLevel, "caller's connection rested too long, closed", "None needed. The configuration's limits say how long it may rest."},
	HandlerFailed:     {logrus.ErrorLevel, "the HTTP server reports a fault", "A fault in croftyard or a caller's broken request: report it with the text."},
	ListOld:           {logrus.WarnLevel, "list of replicas is old and was not renewed in time", "None if the platform's service is down: requests go by the list at hand. Else see why its answers are slow: past its greatest age (`drain`) requests go only to replicas whose own answers show that they stay."},
	ListNew:           {logrus.InfoLevel, "list of replicas was renewed", "None needed."},
	ReplicaEnded:      {logrus.WarnLevel, "replica ended while it ran a request", "Look whether one digest, or one of the prompt's parts, stands in such lines of several replicas: that may be what ends them. pieces is how far the answer had come."},
	RequestHeld:       {logrus.WarnLevel, "request is taken to crash what runs it, refused from now on", "Its 418 lines, by digest, name requests, route and replicas: tell who sends it. It is tried again when its hold (`crash_hold`) is over."},
	RequestCleared:    {logrus.InfoLevel, "request that was held was answered whole, served again", "None needed."},
	ServiceOverloaded: {logrus.WarnLevel, "service overloaded, requests refused", "A service is overloaded, in OPERATIONS.md, tells what to look at. demand is what all callers ask for, limit what is admitted."},
	ServiceHasRoom:    {logrus.InfoLevel, "service has room again", "None needed."},
	MemoryFull:        {logrus.WarnLevel, "memory for callers used up, calls refused", "Look who sends large bodies or sends them slowly; raise held_bytes in [limits] if the machine has more memory."},
	MemoryFree:        {logrus.InfoLevel, "half of the memory for callers is free again", "None needed. rejected counts since the start."},
	RequestRelayed:    {logrus.InfoLevel, "request relayed to another router", "None needed. result tells what became of it; 323 tells why. The other router's lines go on under the same request."},
	AnswerUndelimited: {logrus.InfoLevel, "answer ended with its connection, without a length or chunks", "None needed. Whether it is complete cannot be told; within_event says that a stream was broken off. If a replica always answers so, let it send a length or chunks."},
	PartHeld:          {logrus.WarnLevel, "part of prompts is taken to crash what runs it, refused from now on", "The 418 lines whose parts name it tell requests, routes and replicas: find out where it comes from. It is tried again when its hold (`crash_hold`) is over."},
	PartCleared:       {logrus.InfoLevel, "part of prompts that was held was answered, served again", "None needed."},
	StopEstimate:      {logrus.InfoLevel, "request taken by estimate while the process stops", "None needed. A 403 line of the same request tells that it took longer: left_ms was left until the cut, recent_ms is the longest recent request of its route."},
	StreamTakenUp:     {logrus.InfoLevel, "stream taken up by its caller", "None needed. found tells how its software version is known: recorded, inferred or unknown; an unknown one is refused. listed are the versions that serve, several that others served lately; routes is unknown if one led to another service lately, or may have, which is refused too; answered of the asked routers answered."},
	ServedRead:        {logrus.InfoLevel, "record of the versions that served was read", "None needed. It tells which versions served before this process started. Records that are not reliable were written before the store came back from a copy."},
	ServedWritten:     {logrus.InfoLevel, "record of the versions that served was written", "None needed. With an error, another router writes it or this one tries again. While it is missing, streams that break off as all routers end cannot go on; while it lacks a version, new ones begin at versions that it names as long as these have room."},
	HeldRead:          {logrus.InfoLevel, "record of held requests was read", "None needed. It tells what crashes replicas, and which services have brittle ones, to a process that has started. With an error, it is left out; one that is not usable is written anew once something is held."},
	HeldWritten:       {logrus.InfoLevel, "record of held requests was written", "None needed. With an error, another router writes it or this one tries again. What it lacks as all routers end may crash replicas, or overrun brittle ones, again."},
	PlatformDown:      {logrus.WarnLevel, "platform's service does not answer", "Requests go on. Edits and requests with an Idempotency-Key are refused until it is back."},
	PlatformBack:      {logrus.InfoLevel, "platform's service answers again", "None needed."},
	SourceRewound:     {logrus.WarnLevel, "platform's store came back from a copy, what was known holds against it", "Have what was written since the copy written again, revoked keys first: for hold_ms replicas known to drain or to be gone, and evacuations, hold on; the configuration counts as unproven for half of that."},
	SourcePast:        {logrus.WarnLevel, "answer of a store that was replaced by a copy, left out", "None if it is one that came late. If it lasts, some of the store's machines are still the earlier one's."},
	SourceUntold:      {logrus.WarnLevel, "platform's store no longer tells its era", "None at once: a copy is then known by revisions that fall. Look at what was changed in the store."},
	OrderLease:        {logrus.InfoLevel, "lease for orders taken or lost", "None needed."},
	OrderSent:         {logrus.InfoLevel, "order sent to a target", "None needed."},
	OrderHeldBack:     {logrus.DebugLevel, "order held back", "None needed; the lease's margin or the weight store's rate does not allow it yet."},
}

// Catalogue returns the entry of each event.
func Catalogue() map[ID]Entry {
	return catalogue
}
