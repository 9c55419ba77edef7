package udp

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"
)

var errTooManySockets = errors.New("udp.sockets are used up")

// upstreamSocket is a socket to an endpoint: a flow's own, or one that its flows there share.
// Its fields are under the listener's lock, but for endpointID, conn and packets, which don't change.
type upstreamSocket struct {
	endpointID string
	conn       *net.UDPConn
	packets    *ipv4.PacketConn // conn, for batches; nil unless it is shared
	health     *endpointHealth
	boundFlows int

	// Of shared sockets:
	canSend       bool      // the endpoint's at canSendAt
	canSendAt     time.Time // the batch that canSend was asked for
	writeDeadline time.Time
	pending       []ipv4.Message // datagrams of the batch under way, in its read buffers
	headers       [][maxProxyHeaderLen]byte
	segmenter     segmenter
	flushPending  bool // it is in Listener.unflushed
}

// acquireSocket returns a socket to an endpoint for one more flow, and whether it was opened
// for it. It returns errTooManySockets or the error of the address or of the new socket.
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

// releaseSocket ends one flow's use of a socket, which is closed with the last.
func (l *Listener) releaseSocket(socket *upstreamSocket) {
	socket.health.boundFlows--
	socket.boundFlows--
	if socket.boundFlows > 0 {
		return
	}
	l.writePending(socket) // datagrams of the flow that leaves
	_ = socket.conn.Close()
	l.openSockets--
	if l.sharedSockets[socket.endpointID] == socket {
		delete(l.sharedSockets, socket.endpointID)
	}
}

// canSend reports whether a flow's endpoint may still be sent to. Of shared sockets it is asked
// once for each batch.
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
