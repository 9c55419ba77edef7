package lifecycle

import (
	"time"

	"coralrelay/internal/listlease"
)

// Machine is the state machine of one session. The zero Machine is Waiting.
type Machine struct {
	state State
}

// State returns the current state of the session.
func (m *Machine) State() State { return m.state }

// Apply processes an event. The result changed reports whether the state has changed. The result ok is
// false if the event is impossible in the current state, which violates an invariant; the state is then
// left unchanged.
func (m *Machine) Apply(event Event) (changed, ok bool) {
	result := transitionTable[m.state][event]
	if result.changes {
		m.state = result.next
	}
	return result.changes, result.possible
}

// transition is the result of an event in a state.
type transition struct {
	possible, changes bool
	next              State
}

// transitionTable holds the transition of each event in each state. It is compiled from nextStates and
// ignoredEvents into an array, as it is read for each event of a session.
var transitionTable = func() (table [stateCount][eventCount]transition) {
	for key, next := range nextStates {
		table[key.from][key.event] = transition{possible: true, changes: true, next: next}
	}
	for key := range ignoredEvents {
		table[key.from][key.event] = transition{possible: true}
	}
	return table
}()

// Attempt describes an attempt immediately before its first byte is written.
type Attempt struct {
	Deadline         time.Time        // of the answer, or the end of the retry window
	ClientHasLeft    bool             // according to the client's socket
	EndpointDraining bool             // the endpoint is known to be draining or removed
	Reattach         bool             // the endpoint holds the session: drain and list expiry are ignored
	List             listlease.Status // of the endpoint list from which the endpoint was chosen
}

// MayAttempt checks at time now, immediately before the first byte of an attempt is written, whether the
// attempt may be sent. The session must be Attempting.
func (m *Machine) MayAttempt(now time.Time, attempt Attempt) Refusal {
	switch {
	case m.state == ClientGone || attempt.ClientHasLeft:
		return ClientHasLeft
	case m.state.HasAnswer():
		return AlreadyAnswered
	case !now.Before(attempt.Deadline):
		return DeadlinePassed
	case attempt.Reattach:
		return None
	case attempt.EndpointDraining:
		return EndpointDraining
	case !attempt.List.IsValid(now):
		return ListExpired
	}
	return None
}

// MayStartAttempt checks whether an attempt may be prepared. A session has at most one attempt in
// progress.
func (m *Machine) MayStartAttempt() Refusal {
	switch {
	case m.state == Attempting:
		return AttemptInProgress
	case m.state == ClientGone:
		return ClientHasLeft
	case m.state.HasAnswer():
		return AlreadyAnswered
	}
	return None
}

// MayAnswer checks whether the final answer may be sent. A session has exactly one final answer, or none
// if its client has left.
func (m *Machine) MayAnswer() Refusal {
	switch {
	case m.state == ClientGone:
		return ClientHasLeft
	case m.state.HasAnswer():
		return AlreadyAnswered
	}
	return None
}

// MayMigrate checks whether MOVE may be sent to the client.
func (m *Machine) MayMigrate() Refusal {
	switch {
	case m.state == Established || m.state == HandingOver:
		return None
	case m.state.IsMigrating():
		return AlreadyMigrating
	case m.state.IsOffered():
		return HandoverInProgress
	case m.state == ClientGone:
		return ClientHasLeft
	}
	return NotEstablished
}

// MayHandOver checks whether the session may be handed over to the successor process.
func (m *Machine) MayHandOver() Refusal {
	switch {
	case m.state == Established:
		return None
	case m.state.IsMigrating():
		return AlreadyMigrating
	case m.state == HandingOver || m.state.IsOffered():
		return HandoverInProgress
	case m.state == ClientGone:
		return ClientHasLeft
	}
	return NotEstablished
}

// MayClose checks whether the client's connection may be closed: not while its request is unanswered.
func (m *Machine) MayClose() Refusal {
	if !m.state.HasAnswer() {
		return Unanswered
	}
	return None
}
