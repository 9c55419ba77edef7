package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"

	"coralrelay/internal/bufconn"
	"coralrelay/internal/proxy"
)

const (
	// connectionsPerSession is the number of connections in an offer: the downstream and the
	// upstream connection, in this order.
	connectionsPerSession = 2
	// bytesPerDescriptor is the size of a file descriptor in a control message.
	bytesPerDescriptor = 4
)

// packet is a received message with its control message.
type packet struct {
	message []byte
	control []byte // socket control message, which holds the descriptors
	flags   int    // flags that recvmsg returned
}

func (p packet) carriesDescriptors() bool {
	return len(p.control) > 0 || p.flags&unix.MSG_CTRUNC != 0
}

func (p packet) isTruncated() bool { return p.flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 }

// adopt decodes an offered session and passes it to the receiver. The session waits at the
// returned gate until its sender commits.
func adopt(received packet, receiver Receiver) (*proxy.CommitGate, error) {
	conns, err := parseConnections(received.control)
	var session proxy.EstablishedSession
	if err == nil {
		session, err = decodeSession(received, len(conns))
	}
	if err == nil {
		session.Gate = proxy.NewCommitGate()
		if !receiver.Adopt(session, conns[0], conns[1]) {
			err = fmt.Errorf("session %s: id is in use, or this process is ending as well", session.ID)
		}
	}
	if err != nil {
		for _, conn := range conns {
			_ = conn.Close() // closes only this process's copies
		}
		return nil, err
	}
	return session.Gate, nil
}

// decodeSession decodes the session of a message with the given number of connections.
func decodeSession(received packet, connections int) (session proxy.EstablishedSession, err error) {
	if received.isTruncated() {
		return session, errors.New("message was truncated")
	}
	if connections != connectionsPerSession {
		return session, fmt.Errorf("the message has %d connections, want %d", connections, connectionsPerSession)
	}
	if err := json.Unmarshal(received.message, &session); err != nil {
		return session, err
	}
	if max(len(session.FromClient), len(session.FromUpstream)) > bufconn.BufferSize {
		return session, fmt.Errorf("session %s: unread bytes exceed the buffer size", session.ID)
	}
	return session, nil
}

// parseConnections returns the connections of a control message. With an error, it also returns
// the connections that were found, so that the caller can close them.
func parseConnections(control []byte) (conns []net.Conn, err error) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil, err
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			return conns, err
		}
		for _, fd := range fds { // also after an error, so that no descriptor leaks
			conn, connErr := connectionOf(fd)
			if connErr != nil {
				err = connErr
			}
			if conn != nil {
				conns = append(conns, conn)
			}
		}
		if err != nil {
			return conns, err
		}
	}
	return conns, nil
}

// connectionOf returns the connection of a received descriptor and closes the descriptor. A
// connection that is not TCP is returned together with an error.
func connectionOf(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "handed over")
	conn, err := net.FileConn(file) // duplicates the descriptor
	_ = file.Close()
	if err != nil {
		return nil, err
	}
	if _, isTCP := conn.(*net.TCPConn); !isTCP {
		return conn, errors.New("connection is not TCP")
	}
	return conn, nil
}
