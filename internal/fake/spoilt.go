package fake

// Hang has the server take datagrams and answer none, while its probes go on as if nothing
// were wrong; or ends that.
func (s *Server) Hang(on bool) { s.hung.Store(on) }

// Spoilt is how a server fails while its process runs.
type Spoilt int32

// The ways to fail.
const (
	Sound  Spoilt = iota
	Errors        // every first line is answered ERR, probes as if nothing were wrong
	Full          // every first line is answered BUSY, likewise
	Silent        // nothing is answered any more
)

// Spoil has the server fail in a way, or work again.
func (s *Server) Spoil(way Spoilt) { s.spoilt.Store(int32(way)) }
