package lifecycle

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"coralrelay/internal/listlease"
)

// lives is the whole table: for each state the events that change it, those that change nothing (their
// own state) and, left out, those that can't happen.
var lives = map[State]map[Event]State{
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
		MigrationRequested: HandoverRevoked, SuccessorAsked: Offered, ClientLeft: ClientGone, CloseBegun: Closing,
	},
	HandoverRevoked: {ClientLeft: ClientGone, CloseBegun: Closing, SuccessorAsked: HandoverRevoked},
	Offered:         {SuccessorAccepted: HandedOver, SuccessorRefused: Migrating, ClientLeft: Offered},
	HandedOver:      {CloseBegun: Closing, ClientLeft: HandedOver},
	ClientGone:      {CloseBegun: Closing, AttemptEnded: ClientGone, ClientLeft: ClientGone, SuccessorAsked: ClientGone},
	Closing:         {CloseEnded: Closed, AttemptEnded: Closing, ClientLeft: Closing},
	Closed:          {AttemptEnded: Closed, ClientLeft: Closed},
}

func TestEveryEventInEveryState(t *testing.T) {
	for state := range stateCount {
		for event := range eventCount {
			m := Machine{state: state}
			changed, ok := m.Apply(event)
			want, known := lives[state][event]
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

// refusals has, for each state, why there may be no attempt, answer, migration, hand-over and close.
var refusals = map[State]struct{ start, send, answer, migrate, handOver, close Refusal }{
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

func TestWhatMayHappenInEachState(t *testing.T) {
	now := time.Unix(1000, 0)
	for state := range stateCount {
		m, want := Machine{state: state}, refusals[state]
		got := []Refusal{m.MayStartAttempt(), m.MayAttempt(now, Attempt{Deadline: now.Add(1)}), m.MayAnswer(),
			m.MayMigrate(), m.MayHandOver(), m.MayClose()}
		for i, refusal := range []Refusal{want.start, want.send, want.answer, want.migrate, want.handOver, want.close} {
			if got[i] != refusal {
				t.Errorf("%v, question %d: %v, want %v", state, i, got[i], refusal)
			}
		}
	}
}

// What is known right before the write decides, in this order: the client, the time, the endpoint, the list.
func TestMayAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	expired, valid := listlease.Status{ExpiresAt: now}, listlease.Status{ExpiresAt: now.Add(1)}
	tests := []struct {
		name    string
		attempt Attempt
		want    Refusal
	}{
		{"in time", Attempt{Deadline: now.Add(1)}, None},
		{"at its deadline", Attempt{Deadline: now}, DeadlinePassed},
		{"after its deadline", Attempt{Deadline: now.Add(-1)}, DeadlinePassed},
		{"client has left", Attempt{Deadline: now.Add(1), ClientHasLeft: true}, ClientHasLeft},
		{"client has left a draining endpoint", Attempt{ClientHasLeft: true, EndpointDraining: true}, ClientHasLeft},
		{"endpoint drains", Attempt{Deadline: now.Add(1), EndpointDraining: true}, EndpointDraining},
		{"draining endpoint has it", Attempt{Deadline: now.Add(1), EndpointDraining: true, Reattach: true}, None},
		{"too late for the one that has it", Attempt{Deadline: now, EndpointDraining: true, Reattach: true}, DeadlinePassed},
		{"by a list that is confirmed", Attempt{Deadline: now.Add(1), List: valid}, None},
		{"by a list that is not", Attempt{Deadline: now.Add(1), List: expired}, ListExpired},
		{"by a list that is not, to the one that has it", Attempt{Deadline: now.Add(1), List: expired, Reattach: true}, None},
		{"endpoint drains by a list that is not confirmed", Attempt{Deadline: now.Add(1), EndpointDraining: true, List: expired}, EndpointDraining},
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
		name     string
		listener Admission
		want     Refusal
	}{
		{"usual", Admission{HasCapacity: true}, None},
		{"full", Admission{}, NoCapacity},
		{"drains, not yet", Admission{HasCapacity: true, Draining: true, RejectAt: now.Add(1)}, None},
		{"drains", Admission{HasCapacity: true, Draining: true, RejectAt: now}, NodeDraining},
		{"drains and full", Admission{Draining: true, RejectAt: now}, NodeDraining},
		{"has had its answer", Admission{HasCapacity: true, Evicted: true}, Evicted},
	}
	for _, tt := range tests {
		if got := MayAccept(now, tt.listener); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestMayRetry(t *testing.T) {
	tests := []struct {
		name   string
		repeat Retry
		want   Refusal
	}{
		{"has not run", Retry{Idempotence: NonIdempotent}, None},
		{"idempotent", Retry{MayHaveRun: true}, None},
		{"not idempotent", Retry{MayHaveRun: true, Idempotence: NonIdempotent, InKeyScope: true, KeyWindow: 2}, MayHaveRun},
		{"key known", Retry{MayHaveRun: true, Idempotence: IdempotentByKey, InKeyScope: true, Elapsed: 1, KeyWindow: 2}, None},
		{"key unknown", Retry{MayHaveRun: true, Idempotence: IdempotentByKey, Elapsed: 1, KeyWindow: 2}, MayHaveRun},
		{"key forgotten", Retry{MayHaveRun: true, Idempotence: IdempotentByKey, InKeyScope: true, Elapsed: 2, KeyWindow: 2}, DeadlinePassed},
	}
	for _, tt := range tests {
		if got := MayRetry(tt.repeat); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// course is one course of a session, in which each thing is asked for before it happens.
type course struct {
	Machine
	answers, attemptsOut int
}

// questions are asked before an event; those that have none come as they please.
var questions = map[Event]func(*Machine) Refusal{
	AttemptStarted:     (*Machine).MayStartAttempt,
	AnswerChosen:       (*Machine).MayAnswer,
	UpReceived:         (*Machine).MayAnswer,
	MigrationRequested: (*Machine).MayMigrate,
	HandoverRequested:  (*Machine).MayHandOver,
	CloseBegun:         (*Machine).MayClose,
}

// step has an event happen if it may.
func (c *course) step(event Event) {
	if ask := questions[event]; ask != nil && ask(&c.Machine) != None || event == AttemptEnded && c.attemptsOut == 0 {
		return
	}
	c.Apply(event)
	switch event {
	case AttemptStarted:
		c.attemptsOut++
	case AttemptEnded:
		c.attemptsOut--
	case AnswerChosen, UpReceived:
		c.answers++
	}
}

// Whatever comes in whatever order, as long as each thing is asked for first: there is one final answer
// at most, none for a client that has left; one attempt is out at a time; nothing begins after the
// answer; and no unanswered request is closed.
func TestInvariantsHoldForAnyCourse(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var c course
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := c.State()
			c.step(Event(rapid.IntRange(0, int(eventCount)-1).Draw(t, "event")))
			after := c.State()
			switch {
			case before.HasAnswer() && !after.HasAnswer():
				t.Fatalf("%v became %v", before, after)
			case after == Attempting && c.attemptsOut != 1:
				t.Fatalf("%d attempts out in %v", c.attemptsOut, after)
			case after.HasAnswer() && c.MayAttempt(now, Attempt{Deadline: now.Add(1)}) == None:
				t.Fatalf("an attempt may be sent in %v", after)
			case after.IsClosing() && c.answers == 0 && before != ClientGone && !before.IsClosing():
				t.Fatalf("closed with no answer from %v", before)
			case c.answers > 1:
				t.Fatalf("%d answers", c.answers)
			}
		}
	})
}
