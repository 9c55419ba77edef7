package upstream

import (
	"coralrelay/balance"
	"coralrelay/internal/audit"
)

// attemptReasons are the reasons for which attempts that were not established have ended.
var attemptReasons = map[balance.Outcome]audit.Reason{
	balance.AtCapacity:    audit.RetryAtCapacity,
	balance.ConnectFailed: audit.RetryConnectFailed,
	balance.NotSent:       audit.RetryNotSent,
	balance.Errored:       audit.RetryErrored,
	balance.TimedOut:      audit.AttemptTimedOut,
	balance.Reset:         audit.AttemptReset,
	balance.Cancelled:     audit.AttemptCancelled,
}

// probeReasons are the reasons for which a probe counts against its endpoint.
var probeReasons = map[balance.Outcome]audit.Reason{
	balance.TimedOut:      audit.EjectProbeTimedOut,
	balance.ConnectFailed: audit.EjectProbeConnectFailed,
	balance.Reset:         audit.EjectProbeReset,
	balance.Errored:       audit.EjectProbeErrored,
}

// countOutcome counts why an attempt was not established.
func countOutcome(result attemptResult) {
	if reason, ok := attemptReasons[result.outcome]; ok && !result.established {
		audit.Count(reason)
	}
}

// countProbe counts why a probe failed.
func countProbe(outcome balance.Outcome) {
	if reason, ok := probeReasons[outcome]; ok {
		audit.Count(reason)
	}
}
