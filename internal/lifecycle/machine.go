package lifecycle

import (
	"time"

	"coralrelay/internal/listlease"
)

// Machine is the life of one session.
type Machine struct {
	state State
}

// State returns where the session stands.
func (m *Machine) State() State { return m.state }

// Apply takes an event. changed reports whether the state is another one now. ok is false if the event
// can't happen in this state, which violates an invariant; the state stays then.
func (m *Machine) Apply(event Event) (changed, ok bool) {
	consequence := consequences[m.state][event]
	if consequence.changes {
		m.state = consequence.next
	}
	return consequence.changes, consequence.possible
}

// consequence is what an event in a state leads to.
type consequence struct {
	possible, changes bool
	next              State
}

// consequences has all states and events, as transitions and ignored say: a session looks it up for each
// event.
var consequences = func() (table [stateCount][eventCount]consequence) {
	for happened, next := range transitions {
		table[happened.from][happened.event] = consequence{possible: true, changes: true, next: next}
	}
	for happened := range ignored {
		table[happened.from][happened.event] = consequence{possible: true}
	}
	return table
}()

// Attempt is what is known of an attempt right before its first byte is written.
type Attempt struct {
	Deadline         time.Time        // for its answer, or the end of the time in which a repeat does no harm
	ClientHasLeft    bool             // as the client's socket says now
	EndpointDraining bool             // the endpoint is known to drain or to be gone
	Reattach         bool             // the endpoint holds the session already: that it drains does not matter
	List             listlease.Status // of the list by which the endpoint was chosen
}

// MayAttempt is asked right before the first byte of an attempt is written, with the time as it is
// then. The session must be Attempting.
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

// MayStartAttempt is asked before anything is done for an attempt: one is out at a time.
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

// MayAnswer is asked before the final answer is given: there is exactly one, and none for a client
// that has left.
func (m *Machine) MayAnswer() Refusal {
	switch {
	case m.state == ClientGone:
		return ClientHasLeft
	case m.state.HasAnswer():
		return AlreadyAnswered
	}
	return None
}

// MayMigrate is asked before the client is to be sent MOVE.
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

// MayHandOver is asked before the session is to go to the successor.
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

// MayClose is asked before the client's connection is closed: not while a request is unanswered.
func (m *Machine) MayClose() Refusal {
	if !m.state.HasAnswer() {
		return Unanswered
	}
	return None
}
