package lifecycle

// State is the state of a session.
type State int

// The states of a session.
const (
	Waiting         State = iota // the request has no final answer, and no attempt is in progress
	Attempting                   // an attempt is in progress
	Answered                     // the final answer is a rejection or a failure
	Established                  // the final answer is an endpoint's UP, and lines are relayed
	Migrating                    // MOVE is to be sent to the client
	HandingOver                  // the session is to be offered to the successor process between two lines
	HandoverRevoked              // the handover was cancelled; MOVE is to be sent to the client instead
	Offered                      // the successor has been asked to take over the session
	HandedOver                   // the successor serves the session
	ClientGone                   // the client has left
	Closing                      // the session's connections are being closed
	Closed                       // the session's connections are closed
	stateCount
)

var stateNames = [stateCount]string{"waiting", "attempting", "answered", "established", "migrating", "handing over",
	"handover revoked", "offered", "handed over", "client gone", "closing", "closed"}

// String returns the name of the state in log lines.
func (s State) String() string { return stateNames[s] }

// HasAnswer reports whether the session has its final answer, or needs none because its client has left.
func (s State) HasAnswer() bool { return s != Waiting && s != Attempting }

// IsMigrating reports whether MOVE is to be sent to the client.
func (s State) IsMigrating() bool { return s == Migrating || s == HandoverRevoked }

// IsOffered reports whether the successor has been asked to take over the session.
func (s State) IsOffered() bool { return s == Offered || s == HandedOver }

// IsClosing reports whether the session's connections are being closed or are closed.
func (s State) IsClosing() bool { return s == Closing || s == Closed }

// Event is an event in the life cycle of a session.
type Event int

// The events of a session.
const (
	AttemptStarted     Event = iota // an attempt has begun
	AttemptEnded                    // the attempt in progress has ended without UP
	AnswerChosen                    // the final answer is a rejection or a failure
	UpReceived                      // an endpoint has answered UP
	MigrationRequested              // MOVE is to be sent to the client
	HandoverRequested               // the session is to be handed over to the successor
	SessionOffered                  // the successor has been asked to take over the session
	SuccessorAccepted               // the successor has taken over the session
	SuccessorRefused                // the successor has refused the session: MOVE is to be sent to the client
	ClientLeft                      // the client has closed its connection, or the connection broke
	CloseBegun                      // closing of both connections has begun
	CloseEnded                      // both connections are closed
	eventCount
)

var eventNames = [eventCount]string{"attempt started", "attempt ended", "answer chosen", "up received",
	"migration requested", "handover requested", "successor asked", "successor took", "successor refused",
	"client left", "close begun", "close ended"}

// String returns the name of the event in log lines.
func (e Event) String() string { return eventNames[e] }

// stateEvent is an event in a state, the key of a transition.
type stateEvent struct {
	from  State
	event Event
}

// nextStates maps the events that change the state to the next state. An event that is neither here nor
// in ignoredEvents is impossible in that state.
var nextStates = map[stateEvent]State{
	{Waiting, AttemptStarted}: Attempting,
	{Waiting, AnswerChosen}:   Answered,
	{Waiting, ClientLeft}:     ClientGone,
	{Waiting, UpReceived}:     Established, // an inherited session, which another process has established

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
	{HandingOver, SessionOffered}:     Offered,
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

// ignoredEvents are the events that are possible in a state but do not change it: they were under way
// when an earlier event changed the state.
var ignoredEvents = map[stateEvent]bool{
	{Answered, AttemptEnded}:          true, // the answer cancelled the attempt
	{Answered, ClientLeft}:            true,
	{ClientGone, AttemptEnded}:        true, // the attempt was cancelled because the client left
	{ClientGone, ClientLeft}:          true,
	{Offered, ClientLeft}:             true, // no longer read here; the successor will notice
	{HandedOver, ClientLeft}:          true,
	{Closing, ClientLeft}:             true,
	{Closing, AttemptEnded}:           true,
	{Closed, AttemptEnded}:            true,
	{Closed, ClientLeft}:              true,
	{HandoverRevoked, SessionOffered}: true, // the session is not offered any more
	{ClientGone, SessionOffered}:      true,
}
