package simwire

// Lines that frame a batch, or declare what events of the batch refer to.
const (
	wordBatch      = "ROUND"         // the batch's time in µs
	wordBatchEnd   = "YOUR_TURN"     // the reply is due
	wordInstance   = "ABOUT"         // the instance that the events that follow are about
	wordCreate     = "CREATE"        // starts an instance: seed, settings
	wordEndpoints  = "SNAPSHOT_ROWS" // fills a slot with an endpoint list of so many rows
	wordEndpoint   = "ROW"
	wordReplyEnd   = "ACK"
	wordOnBehalf   = "ON_BEHALF" // the instance that the actions that follow are of
	wordAllPeers   = '*'
	wordAbsent     = '-'
	wordTrue       = "1"
	fieldSeparator = '\t'
)

// Events, each with the method of decide.Balancer that it is reported to.
const (
	wordEndpointList       = "REGISTRY"     // OnEndpoints, or OnPollFailed
	wordRequest            = "WORK_ITEM"    // OnRequest
	wordOutcome            = "SETTLED"      // OnOutcome
	wordTimer              = "DEADLINE_HIT" // OnTimer
	wordHealthCheckResult  = "PROBE_DONE"   // OnHealthCheck
	wordStreamStarted      = "ACCEPTED"     // OnStreamStarted
	wordClientDisconnected = "VANISHED"     // OnClientDisconnected
	wordGossip             = "PEER"         // OnGossip
	wordExit               = "EXIT"         // the instance is gone
)

// Actions, each with the method of decide.Actions that writes it.
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
	listPatch  = "patch"      // changed endpoints alone
	listFull   = "whole"      // all endpoints
	listCached = "stale_copy" // all endpoints, as known some time ago
	listFailed = "broken"     // no list: the poll failed
)

// Phases of an endpoint.
const (
	phaseInService = "in_service"
	phaseDraining  = "terminating"
	phaseRemoved   = "terminated"
)

// resultLetters are those of decide.Result, in its order.
const resultLetters = "SEFTCRXN"

// Fields of a load report.
const (
	loadInFlight = "rif"
	loadQueue    = "q"
	loadBusy     = "busy"
	loadLatency  = "lat_ms"
	loadRate     = "rate"
	loadFailRate = "fail_rate"
)
