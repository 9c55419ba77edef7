package downstream

import (
	"net"
	"os"
	"time"

	"coralrelay/internal/audit"
	"coralrelay/internal/bufconn"
)

const (
	// spareReadTimeout is how long a client that was accepted with the last descriptor may take for its first line:
	// usual clients have sent it by then. Others wait for the descriptor meanwhile. It counts from the client's
	// last byte, or its connect.
	spareReadTimeout = 10 * time.Millisecond
	// spareMinReadTimeout is what a client is given that has waited for longer: what it has sent can be read.
	spareMinReadTimeout = time.Millisecond
	// spareLinger is how long such a client may take to close after its answer.
	spareLinger = 5 * time.Millisecond
)

// spareDescriptor is a descriptor that does nothing but can be given up, so that a process which has no other left
// can accept a client to reject it.
type spareDescriptor struct{ file *os.File }

// acquire opens the spare descriptor unless it is held. It reports whether it is held now.
func (d *spareDescriptor) acquire() bool {
	if d.file == nil {
		if file, err := os.Open(os.DevNull); err == nil {
			d.file = file
		}
	}
	return d.file != nil
}

// release gives the descriptor up. It reports whether it was held.
func (d *spareDescriptor) release() bool {
	if d.file == nil {
		return false
	}
	_ = d.file.Close()
	d.file = nil
	return true
}

// rejectAtOnce rejects a client for which there is no descriptor but the spare one, and closes its connection.
func (s *Server) rejectAtOnce(client net.Conn) {
	audit.Count(audit.RefuseRequestCapacity)
	conn := bufconn.New(client)
	waited := bufconn.SinceLastArrival(client)
	_ = conn.SetReadDeadline(time.Now().Add(max(spareReadTimeout-waited, spareMinReadTimeout)))
	_, err := conn.ReadTextLine() // unread input would reset the connection before the answer was read
	linger := spareLinger
	if err == nil { // its request was read, and it has nothing more to send
		linger = 0
	}
	_ = conn.LingeringClose(s.busyLine(), time.Now().Add(spareReadTimeout), linger)
}
