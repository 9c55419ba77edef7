package fake

// FaultMode is the way in which a server fails while its process is running.
type FaultMode int32

// Fault modes of a server.
const (
	Healthy       FaultMode = iota
	AnswersErrors           // each first line is answered with ERR; health checks and load probes succeed
	AnswersBusy             // each first line is answered with BUSY; health checks and load probes succeed
	Unresponsive            // nothing is answered
)

// SetFault sets the fault mode of the server; Healthy ends a fault.
func (s *Server) SetFault(mode FaultMode) { s.fault.Store(int32(mode)) }

func (s *Server) faultMode() FaultMode { return FaultMode(s.fault.Load()) }

// SetDatagramsUnanswered sets whether the server leaves datagrams unanswered. Health checks and
// load probes succeed in either case.
func (s *Server) SetDatagramsUnanswered(on bool) { s.ignoresDatagrams.Store(on) }
