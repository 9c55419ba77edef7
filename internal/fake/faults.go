package fake

// FaultMode is how a server fails while its process runs.
type FaultMode int32

// The fault modes.
const (
	Healthy       FaultMode = iota
	AnswersErrors           // every first line is answered ERR; health checks and load probes succeed
	AnswersBusy             // every first line is answered BUSY; health checks and load probes succeed
	Unresponsive            // nothing is answered any more
)

// SetFault has the server fail in a way, or work again.
func (s *Server) SetFault(mode FaultMode) { s.fault.Store(int32(mode)) }

func (s *Server) faultMode() FaultMode { return FaultMode(s.fault.Load()) }

// SetDatagramsUnanswered has the server accept datagrams and answer none, while its health checks
// and load probes succeed; or ends that.
func (s *Server) SetDatagramsUnanswered(on bool) { s.ignoresDatagrams.Store(on) }
