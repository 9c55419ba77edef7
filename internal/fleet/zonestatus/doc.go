// Package zonestatus decides, for the fleet as a whole, which zones and regions are evacuated
// and how they recover. It is a pure state machine: it does no I/O, reads no clock and starts
// no goroutine. Its inputs are the members' reports and the replicated state; its outputs are
// changes of that state and limits on traffic.
//
// The member that leads the replicated log runs a [Controller], which proposes a [Change] on
// the evidence of all [Report] values; [State.Apply] accepts or rejects it in the same way on
// every member. A member that does not receive the log runs an [IsolatedController] on its own
// evidence. Nodes enforce the limits that [State.TrafficLimits] returns.
//
// [Config.Validate] returns a [*ConfigError]. [State.Apply] returns a plain error with the reason
// why a change is rejected, and then leaves the state unchanged. docs/notes/zones.md derives the
// bounds.
package zonestatus
