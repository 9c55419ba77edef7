package lifecycle

// Refusal is why something may not happen now. None means that it may.
type Refusal int

// The refusals.
const (
	None               Refusal = iota
	AlreadyAnswered            // the session has its final answer
	ClientHasLeft              // its client has closed the connection, or it broke
	AttemptInProgress          // another attempt is out
	DeadlinePassed             // the time for the answer, or for a repeat of the request, is over
	EndpointDraining           // the endpoint is known to drain or to be gone
	ListExpired                // the list that names the endpoint may not be relied on
	MayHaveRun                 // the request may have run, and must not be repeated
	NotEstablished             // there is nothing to migrate or to hand over
	AlreadyMigrating           // the client is to be sent MOVE already
	HandoverInProgress         // the successor has been asked to take the session
	Unanswered                 // the request has no final answer
	NodeDraining               // the node takes no new requests
	Evicted                    // the client has been given its last answer
	NoCapacity                 // all sockets for clients are in use
	refusalCount
)

var refusalNames = [refusalCount]string{"none", "already answered", "client has left", "attempt out",
	"deadline passed", "endpoint draining", "list expired", "may have run", "not established", "already migrating",
	"successor decides", "unanswered", "node draining", "evicted", "no capacity"}

// String returns the refusal as it stands in log lines.
func (r Refusal) String() string { return refusalNames[r] }
