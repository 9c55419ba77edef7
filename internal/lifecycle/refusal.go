package lifecycle

// Refusal is the reason why an operation is not permitted. None means that it is permitted.
type Refusal int

// The refusals.
const (
	None               Refusal = iota
	AlreadyAnswered            // the session has its final answer
	ClientHasLeft              // the client has closed its connection, or the connection broke
	AttemptInProgress          // another attempt of the session is in progress
	DeadlinePassed             // the deadline of the answer, or the retry window, has passed
	EndpointDraining           // the endpoint is known to be draining or removed
	ListExpired                // the lease of the list that contains the endpoint has expired
	MayHaveRun                 // an earlier attempt may have run, and the request must not run twice
	NotEstablished             // the session is not established, so it cannot be migrated or handed over
	AlreadyMigrating           // MOVE is already to be sent to the client
	HandoverInProgress         // the session is being or has been handed over to the successor
	Unanswered                 // the request has no final answer
	NodeDraining               // the node drains and accepts no new requests
	Evicted                    // the client has been sent its last answer, and its connection lingers
	NoCapacity                 // all sockets for clients are in use
	refusalCount
)

var refusalNames = [refusalCount]string{"none", "already answered", "client has left", "attempt out",
	"deadline passed", "endpoint draining", "list expired", "may have run", "not established", "already migrating",
	"successor decides", "unanswered", "node draining", "evicted", "no capacity"}

// String returns the text of the refusal in log lines.
func (r Refusal) String() string { return refusalNames[r] }
