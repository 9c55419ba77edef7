package proxy

import "coralrelay/balance"

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
