package fake

// Hang has the server take datagrams and answer none, while its probes go on as if nothing
// were wrong; or ends that.
func (s *Server) SetDatagramsUnanswered(on bool) { s.hung.Store(on) }

// Spoilt is how a server fails while its process runs.
type FaultMode int32

// The ways to fail.
const (
	Healthy       FaultMode = iota
	AnswersErrors           // every first line is answered ERR, probes as if nothing were wrong
	AnswersBusy             // every first line is answered BUSY, likewise
	Unresponsive            // nothing is answered any more
)

// Spoil has the server fail in a way, or work again.
func (s *Server) SetFault(way FaultMode) { s.spoilt.Store(int32(way)) }
