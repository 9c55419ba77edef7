package udp

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"
)

var errTooManySockets = errors.New("limit of upstream sockets reached (udp.sockets)")

// upstreamSocket is a socket that is connected to an endpoint. It belongs to one flow or, in shared
// mode, to all of the listener's flows at the endpoint. The listener's mutex protects all fields
// except endpointID, conn and packets, which are constant.
type upstreamSocket struct {
	endpointID string
	conn       *net.UDPConn
	packets    *ipv4.PacketConn // batch I/O on conn; nil unless the socket is shared
	health     *endpointHealth
	boundFlows int

	// For shared sockets only:
	canSend       bool      // result of Endpoints.CanSend at canSendAt
	canSendAt     time.Time // time of the batch for which canSend was determined
	writeDeadline time.Time
	pending       []ipv4.Message // datagrams of the current batch, in its read buffers
	headers       [][maxProxyHeaderLen]byte
	segmenter     segmenter
	flushPending  bool // the socket is in Listener.unflushed
}

// acquireSocket returns a socket to an endpoint for one more flow, and whether it opened the
// socket for this flow. It fails with errTooManySockets, or with the error from parsing the
// endpoint's address or from opening the socket.
func (l *Listener) acquireSocket(endpointID string) (socket *upstreamSocket, opened bool, err error) {
	if shared := l.sharedSockets[endpointID]; shared != nil {
		shared.boundFlows++
		shared.health.boundFlows++
		return shared, false, nil
	}
	if l.openSockets >= l.options.Sockets {
		return nil, false, errTooManySockets
	}
	address, err := netip.ParseAddrPort(l.endpoints.Address(endpointID))
	if err != nil {
		return nil, false, fmt.Errorf("%s: %w", endpointID, err)
	}
	conn, err := l.sourcePorts.dial(address)
	if err != nil {
		return nil, false, err
	}
	l.openSockets++
	socket = &upstreamSocket{
		endpointID: endpointID,
		conn:       conn,
		boundFlows: 1,
		health:     l.endpointHealth(endpointID, address),
	}
	socket.health.boundFlows++
	if l.options.SharedSockets {
		l.shareSocket(socket)
	}
	return socket, true, nil
}

func (l *Listener) shareSocket(socket *upstreamSocket) {
	_ = socket.conn.SetWriteBuffer(socketBufferBytes)
	_ = socket.conn.SetReadBuffer(socketBufferBytes)
	socket.packets = ipv4.NewPacketConn(socket.conn)
	l.sharedSockets[socket.endpointID] = socket
}

// releaseSocket ends one flow's use of a socket and closes the socket after its last flow.
func (l *Listener) releaseSocket(socket *upstreamSocket) {
	socket.health.boundFlows--
	socket.boundFlows--
	if socket.boundFlows > 0 {
		return
	}
	l.writePending(socket) // pending datagrams of the released flow
	_ = socket.conn.Close()
	l.openSockets--
	if l.sharedSockets[socket.endpointID] == socket {
		delete(l.sharedSockets, socket.endpointID)
	}
}

// canSend reports whether datagrams may still be sent to a flow's endpoint. For a shared socket it
// calls Endpoints.CanSend once per batch.
func (l *Listener) canSend(target *placement, now time.Time) bool {
	if !l.options.SharedSockets {
		return l.endpoints.CanSend(target.endpointID, now)
	}
	socket := target.socket
	if socket.canSendAt != now {
		socket.canSendAt = now
		socket.canSend = l.endpoints.CanSend(target.endpointID, now)
	}
	return socket.canSend
}
