package audit

import (
	"sync/atomic"

	"coralrelay/internal/lifecycle"
)

// Reason is the reason for a counted event: the end of a session, the failure or refusal of an attempt, the
// refusal of a request, the ejection of an endpoint, or a new call to discovery.
type Reason int

// The reasons, grouped by event.
const (
	CloseServed         Reason = iota // the endpoint sent BYE
	CloseMigrated                     // the client was sent MOVE
	CloseUpstreamEnded                // the endpoint closed or reset its connection
	CloseUpstreamSilent               // the endpoint did not answer a line, or sent an oversized one
	CloseClientLeft                   // the client closed its connection
	CloseHandedOver                   // the successor process serves the session
	CloseRejected                     // the final answer was BUSY
	CloseFailed                       // the final answer was a failure
	CloseBadFirstLine                 // the first line could not be parsed
	CloseNoFirstLine                  // no first line arrived in time, or the client was evicted for others

	RetryAtCapacity    // the endpoint was at capacity
	RetryConnectFailed // the connection to the endpoint failed
	RetryNotSent       // the attempt was not sent because of this process
	RetryErrored       // the endpoint answered with an error
	AttemptTimedOut    // the endpoint did not answer in time
	AttemptReset       // the connection broke after the request was written
	AttemptCancelled   // the client left or was answered during the attempt

	RefuseAttemptClientLeft // an attempt was not made: the client has left
	RefuseAttemptAnswered   // an attempt was not made: the request has its final answer
	RefuseAttemptInProgress // an attempt was not made: another one is in progress
	RefuseAttemptLate       // an attempt was not made: its deadline or the retry window has passed
	RefuseAttemptStale      // an attempt was not made: the lease of the endpoint list has expired
	RefuseAttemptDraining   // an attempt was not made: the endpoint is draining or removed
	RefuseRequestDraining   // a request was rejected: the node is draining
	RefuseRequestCapacity   // a request was rejected: no socket or file descriptor is available
	RefuseRequestLeft       // a request was not served: the client had left when it was read

	EjectProbeTimedOut      // an endpoint did not answer a probe
	EjectProbeConnectFailed // the connection for a probe failed
	EjectProbeReset         // the connection of a probe broke
	EjectProbeErrored       // the answer to a probe was not a load report

	ReconnectWatchEnded     // the watch of the endpoint list ended or timed out
	ReconnectCallFailed     // a call for the endpoint list failed
	ReconnectAddressChanged // the address of the discovery service changed

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

// String returns the name of the reason in log lines.
func (r Reason) String() string { return reasonNames[r] }

var reasons [reasonCount]atomic.Int64

// Count increments the count of a reason.
func Count(reason Reason) { reasons[reason].Add(1) }

// Counts returns the counts that are not zero, as attributes of a log line.
func Counts() []any {
	var attributes []any
	for reason := range reasonCount {
		if count := reasons[reason].Load(); count > 0 {
			attributes = append(attributes, reason.String(), count)
		}
	}
	return attributes
}

// attemptRefusals and requestRefusals map the refusals of attempts and of requests to the reasons under
// which they are counted.
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

// CountAttemptRefusal counts the refusal of an attempt.
func CountAttemptRefusal(refusal lifecycle.Refusal) { countIn(attemptRefusals, refusal) }

// CountRequestRefusal counts the refusal of a request.
func CountRequestRefusal(refusal lifecycle.Refusal) { countIn(requestRefusals, refusal) }

func countIn(reasonOf map[lifecycle.Refusal]Reason, refusal lifecycle.Refusal) {
	if reason, ok := reasonOf[refusal]; ok {
		Count(reason)
	}
}
