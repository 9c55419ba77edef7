package lifecycle

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"coralrelay/internal/listlease"
)

// wantStates is the complete transition table: for each state, the state after each possible event. An
// event that is ignored leaves the state as it is; an event that is impossible is left out.
var wantStates = map[State]map[Event]State{
	Waiting: {
		AttemptStarted: Attempting, AnswerChosen: Answered, UpReceived: Established, ClientLeft: ClientGone,
	},
	Attempting: {
		AttemptEnded: Waiting, AnswerChosen: Answered, UpReceived: Established, ClientLeft: ClientGone,
	},
	Answered: {CloseBegun: Closing, AttemptEnded: Answered, ClientLeft: Answered},
	Established: {
		MigrationRequested: Migrating, HandoverRequested: HandingOver, ClientLeft: ClientGone, CloseBegun: Closing,
	},
	Migrating: {ClientLeft: ClientGone, CloseBegun: Closing},
	HandingOver: {
		MigrationRequested: HandoverRevoked, SessionOffered: Offered, ClientLeft: ClientGone, CloseBegun: Closing,
	},
	HandoverRevoked: {ClientLeft: ClientGone, CloseBegun: Closing, SessionOffered: HandoverRevoked},
	Offered:         {SuccessorAccepted: HandedOver, SuccessorRefused: Migrating, ClientLeft: Offered},
	HandedOver:      {CloseBegun: Closing, ClientLeft: HandedOver},
	ClientGone:      {CloseBegun: Closing, AttemptEnded: ClientGone, ClientLeft: ClientGone, SessionOffered: ClientGone},
	Closing:         {CloseEnded: Closed, AttemptEnded: Closing, ClientLeft: Closing},
	Closed:          {AttemptEnded: Closed, ClientLeft: Closed},
}

func TestEveryEventInEveryState(t *testing.T) {
	for state := range stateCount {
		for event := range eventCount {
			m := Machine{state: state}
			changed, ok := m.Apply(event)
			want, known := wantStates[state][event]
			if !known {
				want = state
			}
			if m.State() != want || ok != known || changed != (want != state) {
				t.Errorf("%v in %v: %v, changed %v, possible %v; want %v, possible %v",
					event, state, m.State(), changed, ok, want, known)
			}
		}
	}
}

// wantRefusals holds, for each state, the result of each check: starting an attempt, sending it, answering,
// migrating, handing over and closing.
var wantRefusals = map[State]struct{ start, send, answer, migrate, handOver, close Refusal }{
	Waiting:         {None, None, None, NotEstablished, NotEstablished, Unanswered},
	Attempting:      {AttemptInProgress, None, None, NotEstablished, NotEstablished, Unanswered},
	Answered:        {AlreadyAnswered, AlreadyAnswered, AlreadyAnswered, NotEstablished, NotEstablished, None},
	Established:     {AlreadyAnswered, AlreadyAnswered, AlreadyAnswered, None, None, None},
	Migrating:       {AlreadyAnswered, AlreadyAnswered, AlreadyAnswered, AlreadyMigrating, AlreadyMigrating, None},
	HandingOver:     {AlreadyAnswered, AlreadyAnswered, AlreadyAnswered, None, HandoverInProgress, None},
	HandoverRevoked: {AlreadyAnswered, AlreadyAnswered, AlreadyAnswered, AlreadyMigrating, AlreadyMigrating, None},
	Offered:         {AlreadyAnswered, AlreadyAnswered, AlreadyAnswered, HandoverInProgress, HandoverInProgress, None},
	HandedOver:      {AlreadyAnswered, AlreadyAnswered, AlreadyAnswered, HandoverInProgress, HandoverInProgress, None},
	ClientGone:      {ClientHasLeft, ClientHasLeft, ClientHasLeft, ClientHasLeft, ClientHasLeft, None},
	Closing:         {AlreadyAnswered, AlreadyAnswered, AlreadyAnswered, NotEstablished, NotEstablished, None},
	Closed:          {AlreadyAnswered, AlreadyAnswered, AlreadyAnswered, NotEstablished, NotEstablished, None},
}

func TestEveryCheckInEveryState(t *testing.T) {
	now := time.Unix(1000, 0)
	for state := range stateCount {
		m, want := Machine{state: state}, wantRefusals[state]
		got := []Refusal{m.MayStartAttempt(), m.MayAttempt(now, Attempt{Deadline: now.Add(1)}), m.MayAnswer(),
			m.MayMigrate(), m.MayHandOver(), m.MayClose()}
		for i, refusal := range []Refusal{want.start, want.send, want.answer, want.migrate, want.handOver, want.close} {
			if got[i] != refusal {
				t.Errorf("%v, check %d: %v, want %v", state, i, got[i], refusal)
			}
		}
	}
}

// If several reasons forbid an attempt, MayAttempt returns the first of: the client has left, the deadline
// has passed, the endpoint drains, the list has expired.
func TestMayAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	expired, valid := listlease.Status{ExpiresAt: now}, listlease.Status{ExpiresAt: now.Add(1)}
	tests := []struct {
		name    string
		attempt Attempt
		want    Refusal
	}{
		{"before its deadline", Attempt{Deadline: now.Add(1)}, None},
		{"at its deadline", Attempt{Deadline: now}, DeadlinePassed},
		{"after its deadline", Attempt{Deadline: now.Add(-1)}, DeadlinePassed},
		{"client has left", Attempt{Deadline: now.Add(1), ClientHasLeft: true}, ClientHasLeft},
		{"client has left and endpoint drains", Attempt{ClientHasLeft: true, EndpointDraining: true}, ClientHasLeft},
		{"endpoint drains", Attempt{Deadline: now.Add(1), EndpointDraining: true}, EndpointDraining},
		{"reattach to a draining endpoint", Attempt{Deadline: now.Add(1), EndpointDraining: true, Reattach: true}, None},
		{"reattach at the deadline", Attempt{Deadline: now, EndpointDraining: true, Reattach: true}, DeadlinePassed},
		{"list valid", Attempt{Deadline: now.Add(1), List: valid}, None},
		{"list expired", Attempt{Deadline: now.Add(1), List: expired}, ListExpired},
		{"reattach with an expired list", Attempt{Deadline: now.Add(1), List: expired, Reattach: true}, None},
		{"endpoint drains and list expired", Attempt{Deadline: now.Add(1), EndpointDraining: true, List: expired}, EndpointDraining},
	}
	for _, tt := range tests {
		m := Machine{state: Attempting}
		if got := m.MayAttempt(now, tt.attempt); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestMayAccept(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name      string
		admission Admission
		want      Refusal
	}{
		{"capacity left", Admission{HasCapacity: true}, None},
		{"no capacity", Admission{}, NoCapacity},
		{"drains, before RejectAt", Admission{HasCapacity: true, Draining: true, RejectAt: now.Add(1)}, None},
		{"drains, at RejectAt", Admission{HasCapacity: true, Draining: true, RejectAt: now}, NodeDraining},
		{"drains and no capacity", Admission{Draining: true, RejectAt: now}, NodeDraining},
		{"client has its last answer", Admission{HasCapacity: true, Evicted: true}, Evicted},
	}
	for _, tt := range tests {
		if got := MayAccept(now, tt.admission); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestMayRetry(t *testing.T) {
	tests := []struct {
		name  string
		retry Retry
		want  Refusal
	}{
		{"cannot have run", Retry{Idempotence: NonIdempotent}, None},
		{"idempotent", Retry{MayHaveRun: true}, None},
		{"not idempotent", Retry{MayHaveRun: true, Idempotence: NonIdempotent, InKeyScope: true, KeyWindow: 2}, MayHaveRun},
		{"in key scope", Retry{MayHaveRun: true, Idempotence: IdempotentByKey, InKeyScope: true, Elapsed: 1, KeyWindow: 2}, None},
		{"outside key scope", Retry{MayHaveRun: true, Idempotence: IdempotentByKey, Elapsed: 1, KeyWindow: 2}, MayHaveRun},
		{"key window has passed", Retry{MayHaveRun: true, Idempotence: IdempotentByKey, InKeyScope: true, Elapsed: 2, KeyWindow: 2}, DeadlinePassed},
	}
	for _, tt := range tests {
		if got := MayRetry(tt.retry); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// checkedSession is a session in which each event is applied only if its check permits it.
type checkedSession struct {
	Machine
	answerCount, inProgress int // final answers sent; attempts in progress
}

// checks holds the check before each event. An event without a check can occur at any time.
var checks = map[Event]func(*Machine) Refusal{
	AttemptStarted:     (*Machine).MayStartAttempt,
	AnswerChosen:       (*Machine).MayAnswer,
	UpReceived:         (*Machine).MayAnswer,
	MigrationRequested: (*Machine).MayMigrate,
	HandoverRequested:  (*Machine).MayHandOver,
	CloseBegun:         (*Machine).MayClose,
}

// step applies an event if it is permitted.
func (s *checkedSession) step(event Event) {
	if check := checks[event]; check != nil && check(&s.Machine) != None || event == AttemptEnded && s.inProgress == 0 {
		return
	}
	s.Apply(event)
	switch event {
	case AttemptStarted:
		s.inProgress++
	case AttemptEnded:
		s.inProgress--
	case AnswerChosen, UpReceived:
		s.answerCount++
	}
}

// For any sequence of events that the checks permit: a session has at most one final answer, and none if
// its client has left; at most one attempt is in progress; no attempt begins after the answer; and the
// connection of an unanswered request is not closed.
func TestInvariantsHoldForAnySequenceOfEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var s checkedSession
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := s.State()
			s.step(Event(rapid.IntRange(0, int(eventCount)-1).Draw(t, "event")))
			after := s.State()
			switch {
			case before.HasAnswer() && !after.HasAnswer():
				t.Fatalf("%v became %v", before, after)
			case after == Attempting && s.inProgress != 1:
				t.Fatalf("%d attempts in progress in %v", s.inProgress, after)
			case after.HasAnswer() && s.MayAttempt(now, Attempt{Deadline: now.Add(1)}) == None:
				t.Fatalf("an attempt may be sent in %v", after)
			case after.IsClosing() && s.answerCount == 0 && before != ClientGone && !before.IsClosing():
				t.Fatalf("closed without an answer from %v", before)
			case s.answerCount > 1:
				t.Fatalf("%d answers", s.answerCount)
			}
		}
	})
}
