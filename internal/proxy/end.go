package proxy

import (
	"coralrelay/balance"
	"coralrelay/internal/audit"
)

// EndReason is how an established session has ended.
type EndReason int

// The reasons for which a session ends.
const (
	EndServed         EndReason = iota // the upstream has said BYE
	EndMigrated                        // the client was asked to reconnect, by the upstream or by this process
	EndUpstreamClosed                  // the upstream closed or reset its connection
	EndUpstreamSilent                  // the upstream stopped answering, or sent an oversized line
	EndClientClosed                    // the client closed its connection
	EndHandedOver                      // another process serves it from now on
)

// closeReasons are the reasons as they are counted.
var closeReasons = map[EndReason]audit.Reason{
	EndServed:         audit.CloseServed,
	EndMigrated:       audit.CloseMigrated,
	EndUpstreamClosed: audit.CloseUpstreamEnded,
	EndUpstreamSilent: audit.CloseUpstreamSilent,
	EndClientClosed:   audit.CloseClientLeft,
	EndHandedOver:     audit.CloseHandedOver,
}

// outcome returns the end as it is reported to the Observer.
func (r EndReason) outcome() balance.Outcome {
	switch r {
	case EndServed:
		return balance.OK
	case EndUpstreamClosed, EndUpstreamSilent:
		return balance.Reset
	}
	return balance.Cancelled
}
