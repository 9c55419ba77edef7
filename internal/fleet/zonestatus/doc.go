// Package zonestatus decides, for the fleet as a whole, which zones and regions are evacuated
// and how they recover. It is a pure state machine: it does no I/O, reads no clock and starts
// no goroutine. Members' reports and the replicated state go in, changes of that state and
// limits on traffic come out.
//
// The member that leads the replicated log runs a [Controller], which proposes a [Change] on
// the evidence of all [Report] values; [State.Apply] accepts or rejects it in the same way on
// every member. A member that does not receive the log runs an [IsolatedController] on its own
// evidence. [State.TrafficLimits] is what nodes obey.
//
// Errors: [Config.Validate] returns a [*ConfigError], [State.Apply] a plain error that says why
// the change was rejected; the state is then unchanged. docs/notes/zones.md derives the bounds.
package zonestatus
