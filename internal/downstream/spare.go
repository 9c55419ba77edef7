package downstream

import (
	"net"
	"os"
	"time"

	"coralrelay/internal/audit"
	"coralrelay/internal/bufconn"
)

const (
	// spareReadTimeout is how long a client that was accepted with the last descriptor may take for
	// its first line, counted from its last byte or its connect. Ordinary clients have sent it by
	// then, and other clients wait for the descriptor meanwhile.
	spareReadTimeout = 10 * time.Millisecond
	// spareMinReadTimeout is the read timeout of a client that has waited for longer than that:
	// what it has sent can still be read.
	spareMinReadTimeout = time.Millisecond
	// spareLinger is how long such a client may take to close its connection after its answer.
	spareLinger = 5 * time.Millisecond
)

// spareDescriptor is a descriptor held in reserve. A process that has no other descriptor left
// releases it to accept a client and reject it.
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

// release closes the spare descriptor. It reports whether it was held.
func (d *spareDescriptor) release() bool {
	if d.file == nil {
		return false
	}
	_ = d.file.Close()
	d.file = nil
	return true
}

// rejectUsingSpare rejects a client that was accepted with the spare descriptor because there is no
// other, and closes its connection.
func (s *Server) rejectUsingSpare(client net.Conn) {
	audit.Count(audit.RefuseRequestCapacity)
	conn := bufconn.New(client)
	waited := bufconn.SinceLastArrival(client)
	_ = conn.SetReadDeadline(time.Now().Add(max(spareReadTimeout-waited, spareMinReadTimeout)))
	_, err := conn.ReadTextLine() // unread input would reset the connection before the answer is read
	linger := spareLinger
	if err == nil { // the request was read, and the client has nothing more to send
		linger = 0
	}
	_ = conn.LingeringClose(s.busyLine(), time.Now().Add(spareReadTimeout), linger)
}
