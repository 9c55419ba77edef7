package audit

import (
	"sync/atomic"

	"coralrelay/internal/lifecycle"
)

// Reason is why a session, an attempt, an endpoint or a watch took another course than the usual.
type Reason int

// The reasons, by what they are for.
const (
	CloseServed         Reason = iota // the endpoint has said BYE
	CloseMigrated                     // the client was sent MOVE
	CloseUpstreamEnded                // the endpoint closed or reset its connection
	CloseUpstreamSilent               // the endpoint left a line unanswered, or sent an oversized one
	CloseClientLeft                   // the client closed its connection
	CloseHandedOver                   // the successor process serves the session
	CloseRejected                     // the final answer was BUSY
	CloseFailed                       // the final answer was a failure
	CloseBadFirstLine                 // the first line could not be parsed
	CloseNoFirstLine                  // no first line came in time, or its client made way for others

	RetryAtCapacity    // the endpoint was at capacity
	RetryConnectFailed // no connection to the endpoint came up
	RetryNotSent       // the attempt was not sent for a reason of this process
	RetryErrored       // the endpoint answered with an error
	AttemptTimedOut    // the endpoint answered nothing in time
	AttemptReset       // the connection broke after the request was written
	AttemptCancelled   // the client left, or was answered, meanwhile

	RefuseAttemptClientLeft // an attempt was not made: the client has left
	RefuseAttemptAnswered   // an attempt was not made: the request has its answer
	RefuseAttemptInProgress // an attempt was not made: another one is out
	RefuseAttemptLate       // an attempt was not made: its time, or the retry window, is over
	RefuseAttemptStale      // an attempt was not made: the endpoint list may not be relied on
	RefuseAttemptDraining   // an attempt was not made: the endpoint drains or is gone
	RefuseRequestDraining   // a request was rejected: the node drains
	RefuseRequestCapacity   // a request was rejected: all sockets are in use, or no descriptor is left
	RefuseRequestLeft       // a request was not served: its client had left when it was read

	EjectProbeTimedOut      // an endpoint did not answer a probe
	EjectProbeConnectFailed // no connection for a probe came up
	EjectProbeReset         // the connection of a probe broke
	EjectProbeErrored       // the answer to a probe was not a load report

	ReconnectWatchEnded     // the watch of the endpoint list has ended or fallen silent
	ReconnectCallFailed     // a call for the endpoint list has failed
	ReconnectAddressChanged // the discovery service has another address

	reasonCount
)

var reasonNames = [reasonCount]string{
	"close_served", "close_migrated", "close_upstream_ended", "close_upstream_silent", "close_client_left",
	"close_handed_over", "close_rejected", "close_failed", "close_bad_first_line", "close_no_first_line",
	"retry_at_capacity", "retry_connect_failed", "retry_not_sent", "retry_errored",
	"attempt_timed_out", "attempt_reset", "attempt_cancelled",
	"refuse_attempt_client_left", "refuse_attempt_answered", "refuse_attempt_out", "refuse_attempt_late",
	"refuse_attempt_stale", "refuse_attempt_draining", "refuse_request_draining", "refuse_request_capacity", "refuse_request_left",
	"eject_probe_timed_out", "eject_probe_connect_failed", "eject_probe_reset", "eject_probe_errored",
	"reconnect_watch_ended", "reconnect_call_failed", "reconnect_address_changed",
}

// String returns the reason as it stands in log lines.
func (r Reason) String() string { return reasonNames[r] }

var reasons [reasonCount]atomic.Int64

// Count counts a reason.
func Count(reason Reason) { reasons[reason].Add(1) }

// Counts returns the reasons that were counted, as attributes of a log line.
func Counts() []any {
	var attributes []any
	for reason := range reasonCount {
		if count := reasons[reason].Load(); count > 0 {
			attributes = append(attributes, reason.String(), count)
		}
	}
	return attributes
}

// attemptRefusals and requestRefusals are the reasons for which an attempt is not made and a request is
// not served.
var (
	attemptRefusals = map[lifecycle.Refusal]Reason{
		lifecycle.AlreadyAnswered:   RefuseAttemptAnswered,
		lifecycle.ClientHasLeft:     RefuseAttemptClientLeft,
		lifecycle.AttemptInProgress: RefuseAttemptInProgress,
		lifecycle.DeadlinePassed:    RefuseAttemptLate,
		lifecycle.EndpointDraining:  RefuseAttemptDraining,
		lifecycle.ListExpired:       RefuseAttemptStale,
	}
	requestRefusals = map[lifecycle.Refusal]Reason{
		lifecycle.ClientHasLeft: RefuseRequestLeft,
		lifecycle.NodeDraining:  RefuseRequestDraining,
		lifecycle.NoCapacity:    RefuseRequestCapacity,
		lifecycle.Evicted:       RefuseRequestCapacity,
	}
)

// CountAttemptRefusal counts the reason for which an attempt was refused.
func CountAttemptRefusal(refusal lifecycle.Refusal) { countIn(attemptRefusals, refusal) }

// CountRequestRefusal counts the reason for which a request was refused.
func CountRequestRefusal(refusal lifecycle.Refusal) { countIn(requestRefusals, refusal) }

func countIn(known map[lifecycle.Refusal]Reason, refusal lifecycle.Refusal) {
	if reason, ok := known[refusal]; ok {
		Count(reason)
	}
}
