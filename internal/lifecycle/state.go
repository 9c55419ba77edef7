package lifecycle

// State is where a session stands.
type State int

// The states of a session.
const (
	Waiting         State = iota // its request was read; it has no final answer, and no attempt is out
	Attempting                   // an attempt is out
	Answered                     // its final answer is a rejection or a failure
	Established                  // its final answer is an endpoint's UP, and lines are relayed
	Migrating                    // its client is to be sent MOVE
	HandingOver                  // it goes to the successor between two lines
	HandoverRevoked              // it was to go to the successor; its client is to be sent MOVE instead
	Offered                      // the successor has been asked to take it
	HandedOver                   // the successor serves it
	ClientGone                   // its client has left
	Closing                      // its connections are being closed
	Closed                       // its connections are closed
	stateCount
)

var stateNames = [stateCount]string{"waiting", "attempting", "answered", "established", "migrating", "handing over",
	"handover revoked", "offered", "handed over", "client gone", "closing", "closed"}

// String returns the state as it stands in log lines.
func (s State) String() string { return stateNames[s] }

// HasAnswer reports whether the session needs no final answer any more: it has one, or its client
// has left.
func (s State) HasAnswer() bool { return s != Waiting && s != Attempting }

// IsMigrating reports whether the client is to be sent MOVE.
func (s State) IsMigrating() bool { return s == Migrating || s == HandoverRevoked }

// IsOffered reports whether the successor has been asked to take the session.
func (s State) IsOffered() bool { return s == Offered || s == HandedOver }

// IsClosing reports whether the session's connections are being closed, or are closed.
func (s State) IsClosing() bool { return s == Closing || s == Closed }

// Event is what happens to a session.
type Event int

// The events of a session.
const (
	AttemptStarted     Event = iota // an attempt goes out
	AttemptEnded                    // the attempt that was out has ended without UP
	AnswerChosen                    // the final answer is a rejection or a failure
	UpReceived                      // the endpoint has answered UP
	MigrationRequested              // the client is to be sent MOVE
	HandoverRequested               // the session is to go to the successor
	SuccessorAsked                  // the successor is offered the session
	SuccessorAccepted               // and has taken it
	SuccessorRefused                // and has not: the client is to be sent MOVE
	ClientLeft                      // the client has closed its connection, or it broke
	CloseBegun                      // both connections are being closed
	CloseEnded                      // and are closed
	eventCount
)

var eventNames = [eventCount]string{"attempt started", "attempt ended", "answer chosen", "up received",
	"migration requested", "handover requested", "successor asked", "successor took", "successor refused",
	"client left", "close begun", "close ended"}

// String returns the event as it stands in log lines.
func (e Event) String() string { return eventNames[e] }

// transition is an event in a state.
type transition struct {
	from  State
	event Event
}

// transitions says which state follows. What is not listed can't happen, unless ignored has it.
var transitions = map[transition]State{
	{Waiting, AttemptStarted}: Attempting,
	{Waiting, AnswerChosen}:   Answered,
	{Waiting, ClientLeft}:     ClientGone,
	{Waiting, UpReceived}:     Established, // of an inherited session, which was established elsewhere

	{Attempting, AttemptEnded}: Waiting,
	{Attempting, UpReceived}:   Established,
	{Attempting, AnswerChosen}: Answered,
	{Attempting, ClientLeft}:   ClientGone,

	{Answered, CloseBegun}: Closing,

	{Established, MigrationRequested}: Migrating,
	{Established, HandoverRequested}:  HandingOver,
	{Established, ClientLeft}:         ClientGone,
	{Established, CloseBegun}:         Closing,

	{Migrating, ClientLeft}: ClientGone,
	{Migrating, CloseBegun}: Closing,

	{HandingOver, MigrationRequested}: HandoverRevoked,
	{HandingOver, SuccessorAsked}:     Offered,
	{HandingOver, ClientLeft}:         ClientGone,
	{HandingOver, CloseBegun}:         Closing,

	{HandoverRevoked, ClientLeft}: ClientGone,
	{HandoverRevoked, CloseBegun}: Closing,

	{Offered, SuccessorAccepted}: HandedOver,
	{Offered, SuccessorRefused}:  Migrating,

	{HandedOver, CloseBegun}: Closing,

	{ClientGone, CloseBegun}: Closing,

	{Closing, CloseEnded}: Closed,
}

// ignored are events that may come in a state and change nothing: they cross what has happened.
var ignored = map[transition]bool{
	{Answered, AttemptEnded}:          true, // the attempt was cancelled by the answer
	{Answered, ClientLeft}:            true,
	{ClientGone, AttemptEnded}:        true, // the attempt was cancelled as the client left
	{ClientGone, ClientLeft}:          true,
	{Offered, ClientLeft}:             true, // nobody reads: the successor will see it
	{HandedOver, ClientLeft}:          true,
	{Closing, ClientLeft}:             true,
	{Closing, AttemptEnded}:           true,
	{Closed, AttemptEnded}:            true,
	{Closed, ClientLeft}:              true,
	{HandoverRevoked, SuccessorAsked}: true, // it is not asked any more
	{ClientGone, SuccessorAsked}:      true,
}
