package rpmetric

import (
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// kind is the Prometheus type of a metric.
type kind string

const (
	kindCounter   kind = "counter"
	kindGauge     kind = "gauge"
	kindHistogram kind = "histogram"
)

// metric is one row of the table of metrics.
type metric struct {
	name   string
	kind   kind
	unit   string
	help   string
	labels []label
	// buckets contains the upper bounds of the buckets of a histogram.
	buckets []float64
}

// label is a label with all its values. Any other value is counted as
// otherValue, so that callers, models and endpoints can't add time series.
type label struct {
	name   string
	values []string
}

// otherValue replaces values that a label does not list.
const otherValue = "other"

// CodeOK is the code of a request that was served.
const CodeOK = "ok"

// Names of the metrics.
const (
	nameRequests       = "rattanpaddle_requests_total"
	nameFirstToken     = "rattanpaddle_first_token_seconds"
	nameAttempts       = "rattanpaddle_attempts_total"
	nameQueue          = "rattanpaddle_queue_requests"
	nameInProgress     = "rattanpaddle_requests_in_progress"
	nameLoads          = "rattanpaddle_loads_total"
	nameLoadSeconds    = "rattanpaddle_load_seconds"
	nameTableOps       = "rattanpaddle_table_operations_total"
	nameTableSeconds   = "rattanpaddle_table_operation_seconds"
	namePeerMessages   = "rattanpaddle_peer_messages_total"
	nameReducerEvents  = "rattanpaddle_reducer_events_total"
	nameReducerSeconds = "rattanpaddle_reducer_seconds_total"
	nameSubmissions    = "rattanpaddle_document_submissions_total"
	nameDocuments      = "rattanpaddle_documents_in_force"
	nameStoreCalls     = "rattanpaddle_store_calls_total"
	nameStoreEra       = "rattanpaddle_store_era"
	nameConnections    = "rattanpaddle_endpoint_connections_total"
	nameRouted         = "rattanpaddle_routed_requests_total"
	nameRoutedSeconds  = "rattanpaddle_routed_request_seconds"
	nameRoutedFirst    = "rattanpaddle_routed_first_event_seconds"
	nameEstimateRatio  = "rattanpaddle_first_event_estimate_ratio"
	nameOrders         = "rattanpaddle_engine_orders_total"
	nameAccounts       = "rattanpaddle_accounts_in_force"
	nameConfigAge      = "rattanpaddle_config_confirmed_age_seconds"
	nameKeysAccepted   = "rattanpaddle_keys_accepted"
	nameLogDropped     = "rattanpaddle_log_lines_dropped_total"
	nameCallerMemory   = "rattanpaddle_caller_memory_bytes"
	nameCallerConns    = "rattanpaddle_caller_connections"
	nameCallerLimits   = "rattanpaddle_caller_limits_total"
)

// Upper bounds of buckets, in seconds. The target of 0.56 s for the first token
// is one of them, so that the share of requests within it is known exactly.
var (
	firstTokenBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.56, 0.8, 1.2, 2, 3, 5, 10, 30, 60, 300}
	loadBuckets       = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 15, 30, 60, 120}
	ratioBuckets      = []float64{0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 3, 5, 10, 20}
	tableBuckets      = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}
)

var rankLabel = label{"rank", rankNames()}

// table lists every metric of an instance.
var table = []metric{
	{name: nameRequests, kind: kindCounter, unit: "requests", help: "Requests that ended, by rank and code. The code is ok or that of the refusal.", labels: []label{rankLabel, {"code", codeNames()}}},
	{name: nameFirstToken, kind: kindHistogram, unit: "seconds", help: "Time from the arrival of a request to its first token, by rank.", labels: []label{rankLabel}, buckets: firstTokenBuckets},
	{name: nameAttempts, kind: kindCounter, unit: "attempts", help: "Attempts that ended, by the reason of the end.", labels: []label{{"reason", reasonNames()}}},
	{name: nameQueue, kind: kindGauge, unit: "requests", help: "Requests that wait for an endpoint, by rank.", labels: []label{rankLabel}},
	{name: nameInProgress, kind: kindGauge, unit: "requests", help: "Requests that this instance holds."},
	{name: nameLoads, kind: kindCounter, unit: "loads", help: "Load orders that ended, by the place of the checkpoint and the result.", labels: []label{placeLabel, {"result", resultNames()}}},
	{name: nameLoadSeconds, kind: kindHistogram, unit: "seconds", help: "Time of load orders that were carried out, by the place of the checkpoint.", labels: []label{placeLabel}, buckets: loadBuckets},
	{name: nameTableOps, kind: kindCounter, unit: "operations", help: "Operations on the table that ended, by kind and outcome.", labels: []label{operationLabel, {"outcome", outcomeNames()}}},
	{name: nameTableSeconds, kind: kindHistogram, unit: "seconds", help: "Time of operations on the table, by kind.", labels: []label{operationLabel}, buckets: tableBuckets},
	{name: namePeerMessages, kind: kindCounter, unit: "messages", help: "Messages between instances, by direction and kind.", labels: []label{{"direction", []string{"sent", "received", "dropped"}}, {"kind", peerMessageKinds()}}},
	{name: nameReducerEvents, kind: kindCounter, unit: "events", help: "Events that the reducer took in."},
	{name: nameReducerSeconds, kind: kindCounter, unit: "seconds", help: "Time spent in the reducer."},
	{name: nameSubmissions, kind: kindCounter, unit: "submissions", help: "Documents submitted at this instance, by result.", labels: []label{{"result", submissionNames()}}},
	{name: nameStoreCalls, kind: kindCounter, unit: "calls", help: "Calls of the gateway to the platform's store, by what they ask for and by the outcome: answered, refused (an error of the store) or lost (no response).", labels: []label{{"call", []string{"snapshot", "row", "changes", "write"}}, {"table", []string{"configuration", "endpoints", "lease", "demands", "crashes"}}, {"outcome", []string{"answered", "refused", "lost"}}}},
	{name: nameStoreEra, kind: kindGauge, unit: "eras", help: "The era of the platform's store, one more than it tells. It rises each time that the store comes back from a copy. 0 if it tells none."},
	{name: nameConnections, kind: kindCounter, unit: "requests", help: "Requests of the gateway to endpoints that got a connection: a kept one, a new one because none was kept, or a new one because the request may run only once.", labels: []label{{"connection", []string{"kept", "none_kept", "single_use"}}}},
	{name: nameRouted, kind: kindCounter, unit: "requests", help: "Requests on the routes of a platform that ended, by code. The code is ok, abandoned or that of the refusal.", labels: []label{{"code", codeNames()}}},
	{name: nameRoutedSeconds, kind: kindHistogram, unit: "seconds", help: "Time from the arrival of such a request to its end, by code.", labels: []label{{"code", codeNames()}}, buckets: firstTokenBuckets},
	{name: nameRoutedFirst, kind: kindHistogram, unit: "seconds", help: "Time from the arrival of such a request to the first event of its stream, by rank (0 is the most urgent).", labels: []label{{"rank", []string{"0", "1", "2", "3"}}}, buckets: firstTokenBuckets},
	{name: nameEstimateRatio, kind: kindHistogram, unit: "ratio", help: "Time from the start of an attempt at an engine to its first event, divided by the time that was expected at the start: above 1, the event came later. By length of the prompt (long is more than 2,000 tokens) and by whether most request slots of the engine were in use.", labels: []label{{"prompt", []string{PromptShort, PromptLong}}, {"engine", []string{EngineFree, EngineBusy}}}, buckets: ratioBuckets},
	{name: nameOrders, kind: kindCounter, unit: "orders", help: "Orders to the engines of a platform, by kind and outcome.", labels: []label{{"kind", stringValues(rpfleet.OrderLoad, rpfleet.OrderUnload)}, {"outcome", stringValues(rpfleet.OrderAccepted, rpfleet.OrderHolds, rpfleet.OrderConflict, rpfleet.OrderRejected, rpfleet.OrderNotSent, rpfleet.OrderUnknown)}}},
	{name: nameAccounts, kind: kindGauge, unit: "accounts", help: "Client accounts of the configuration in force."},
	{name: nameConfigAge, kind: kindGauge, unit: "seconds", help: "Time since the configuration in force was last known to be the newest one, or -1 if it never was."},
	{name: nameKeysAccepted, kind: kindGauge, unit: "0 or 1", help: "1 if the instance accepts keys of client accounts, 0 if the configuration was not confirmed for too long."},
	{name: nameLogDropped, kind: kindCounter, unit: "lines", help: "Lines of the log that were dropped because standard output was not read fast enough."},
	{name: nameCallerMemory, kind: kindGauge, unit: "bytes", help: "Memory that the gateway holds for requests of callers, by use, once a second: header sections, bodies, and requests in progress without both.", labels: []label{{"use", []string{"header", "body", "request"}}}},
	{name: nameCallerConns, kind: kindGauge, unit: "connections", help: "Open connections of callers of the gateway, by state, once a second: no byte has come yet, idle after a response, a header arrives, or a request is in progress.", labels: []label{{"state", []string{"new", "idle", "header", "active"}}}},
	{name: nameCallerLimits, kind: kindCounter, unit: "events", help: "Times that a limit of the gateway ended what a caller did, by cause: header_too_large (431), evicted (for another request that needed memory), memory_short (no memory could be had), connection_closed (for a new one) and connection_rejected (all others had requests in progress).", labels: []label{{"cause", []string{"header_too_large", "evicted", "memory_short", "connection_closed", "connection_rejected"}}}},
	{name: nameDocuments, kind: kindGauge, unit: "documents", help: "Documents in force at this instance."},
}

var (
	placeLabel     = label{"place", stringValues(rpcore.PlaceMemory, rpcore.PlaceDisk, rpcore.PlaceRemote)}
	operationLabel = label{"kind", []string{"read", "write"}}
)

func stringValues[T ~string](values ...T) []string {
	list := make([]string, len(values))
	for i, value := range values {
		list[i] = string(value)
	}
	return list
}

func rankNames() []string {
	list := make([]string, len(rpdocument.Ranks))
	for i, rank := range rpdocument.Ranks {
		list[i] = rank.String()
	}
	return list
}

func codeNames() []string {
	return append([]string{CodeOK, CodeAbandoned}, stringValues(refusalCodes...)...)
}

// CodeAbandoned is the code of a request whose caller closed the connection.
const CodeAbandoned = "abandoned"

var refusalCodes = []rpverdict.Code{
	rpverdict.CodeMalformedRequest, rpverdict.CodeBodyTooLarge, rpverdict.CodeUnknownModel,
	rpverdict.CodeUnknownService, rpverdict.CodeUnknownRoute, rpverdict.CodeCallerNotAllowed,
	rpverdict.CodeIdempotencyKeyRequired, rpverdict.CodeIdempotencyKeyReused, rpverdict.CodeInvalidHeader,
	rpverdict.CodeNoDocument, rpverdict.CodeDraining, rpverdict.CodeQueueFull,
	rpverdict.CodeDeadlineUnreachable, rpverdict.CodeDeadlineExceeded, rpverdict.CodeNoReplica,
	rpverdict.CodeAcceleratorHoursUsed, rpverdict.CodeNoEndpoint, rpverdict.CodeTableUnavailable, rpverdict.CodeAttemptFailed,
	rpverdict.CodeStreamBroken, rpverdict.CodeEarlierAttemptUnknown, rpverdict.CodeOutcomeNotKept,
	rpverdict.CodeTooManyStreams,
	rpverdict.CodePromptQuarantined, rpverdict.CodeQuarantineUnknown,
	rpverdict.CodeUnknownKey, rpverdict.CodeAccountsUnconfirmed, rpverdict.CodeQuotaExceeded,
	rpverdict.CodeMemoryShort,
}

func reasonNames() []string {
	return stringValues(rpcore.AttemptComplete, rpcore.AttemptRefusedConnection, rpcore.AttemptNotLoaded,
		rpcore.AttemptBusy, rpcore.AttemptLeaving, rpcore.AttemptBroken, rpcore.AttemptFailed,
		rpcore.AttemptCanceled, rpcore.AttemptTimedOut)
}

func resultNames() []string {
	return stringValues(rpcore.OrderDone, rpcore.OrderFenced, rpcore.OrderRejected, rpcore.OrderNotSent, rpcore.OrderUnknown)
}

func outcomeNames() []string {
	return append([]string{ReadDone}, stringValues(rpcore.WriteApplied, rpcore.WriteConflict, rpcore.WriteUnavailable, rpcore.WriteUnknown)...)
}

func submissionNames() []string {
	return stringValues(rpcore.SubmissionAccepted, rpcore.SubmissionConflict, rpcore.SubmissionInvalid,
		rpcore.SubmissionUnavailable, rpcore.SubmissionUnknown)
}

func peerMessageKinds() []string {
	return []string{
		"heartbeat", "document_push", "document_request", "demand", "demand_answer",
		"report_share", "replica_notice", "leaving_notice", "ticket_request", "ticket_grant", "ticket_release",
	}
}
