package simwire

// Keywords of the lines that begin or end a batch or a reply, that select or start an instance, or that transfer an endpoint
// list; and fields with a special value.
const (
	wordBatch      = "ROUND"         // begins a batch; field: time in µs
	wordBatchEnd   = "YOUR_TURN"     // ends a batch and requests the reply
	wordInstance   = "ABOUT"         // selects the instance of the following events
	wordCreate     = "CREATE"        // starts an instance; fields: seed, settings
	wordEndpoints  = "SNAPSHOT_ROWS" // fills a slot with the endpoint list in the following rows; fields: slot, number of rows
	wordEndpoint   = "ROW"           // an endpoint of the list
	wordReplyEnd   = "ACK"           // ends a reply
	wordOnBehalf   = "ON_BEHALF"     // names the instance of the following actions
	wordAllPeers   = '*'             // a message to all other balancers
	wordAbsent     = '-'             // an absent field
	wordTrue       = "1"             // a flag that is set
	fieldSeparator = '\t'
)

// Keywords of events, each with the method of decide.Balancer that it calls.
const (
	wordEndpointList       = "REGISTRY"     // OnEndpoints, or OnPollFailed
	wordRequest            = "WORK_ITEM"    // OnRequest
	wordOutcome            = "SETTLED"      // OnOutcome
	wordTimer              = "DEADLINE_HIT" // OnTimer
	wordHealthCheckResult  = "PROBE_DONE"   // OnHealthCheck
	wordStreamStarted      = "ACCEPTED"     // OnStreamStarted
	wordClientDisconnected = "VANISHED"     // OnClientDisconnected
	wordGossip             = "PEER"         // OnGossip
	wordExit               = "EXIT"         // none: the instance ends
)

// Keywords of actions, each with the method of decide.Actions that writes it.
const (
	wordSendAttempt          = "SEND"         // SendAttempt
	wordCancelAttempt        = "RETRACT"      // CancelAttempt
	wordReject               = "NOT_NOW"      // Reject
	wordFail                 = "SURRENDER"    // Fail
	wordCheckHealth          = "HEALTH_CHECK" // CheckHealth
	wordCloseIdleConnections = "CLOSE_IDLE"   // CloseIdleConnections
	wordSendGossip           = "NOTIFY"       // SendGossip
	wordWatchEndpoints       = "OBSERVE"      // WatchEndpoints
	wordSetTimer             = "ARM"          // SetTimer
	wordLog                  = "PRINT"        // Log
)

// Kinds of an endpoint list.
const (
	listPatch  = "patch"      // only the changed endpoints
	listFull   = "whole"      // all endpoints
	listCached = "stale_copy" // all endpoints, from an older list
	listFailed = "broken"     // no list: the poll failed
)

// Phases of an endpoint.
const (
	phaseInService = "in_service"
	phaseDraining  = "terminating"
	phaseRemoved   = "terminated"
)

// resultLetters are the letters for the values of decide.Result, in order.
const resultLetters = "SEFTCRXN"

// Names of the fields of a load report.
const (
	loadInFlight = "rif"
	loadQueue    = "q"
	loadBusy     = "busy"
	loadLatency  = "lat_ms"
	loadRate     = "rate"
	loadFailRate = "fail_rate"
)
