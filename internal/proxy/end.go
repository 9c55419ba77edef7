package proxy

import (
	"coralrelay/balance"
	"coralrelay/internal/audit"
)

// EndReason is the reason why an established session has ended.
type EndReason int

// The reasons why a session ends.
const (
	EndServed         EndReason = iota // the upstream has sent BYE
	EndMigrated                        // the upstream or this process has asked the client to reconnect
	EndUpstreamClosed                  // the upstream closed or reset its connection
	EndUpstreamSilent                  // no answer, an oversized line, or a broken path to the upstream
	EndClientClosed                    // the client closed its connection
	EndHandedOver                      // another process serves the session from now on
)

// closeReasons maps each end reason to the reason under which it is counted.
var closeReasons = map[EndReason]audit.Reason{
	EndServed:         audit.CloseServed,
	EndMigrated:       audit.CloseMigrated,
	EndUpstreamClosed: audit.CloseUpstreamEnded,
	EndUpstreamSilent: audit.CloseUpstreamSilent,
	EndClientClosed:   audit.CloseClientLeft,
	EndHandedOver:     audit.CloseHandedOver,
}

// outcome returns the outcome that is reported to the Observer.
func (r EndReason) outcome() balance.Outcome {
	switch r {
	case EndServed:
		return balance.OK
	case EndUpstreamClosed, EndUpstreamSilent:
		return balance.Reset
	}
	return balance.Cancelled
}
