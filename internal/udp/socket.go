package udp

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"coralrelay/balance"
	"coralrelay/internal/flowtable"
	"coralrelay/internal/mutation"
)

// writing is how long a batch may wait for room in a socket's buffer; the front's lock is
// held meanwhile, and what is late is lost rather than holding up the rest.
const writeTimeout = 10 * time.Millisecond

// outlet is a socket to a next hop: a flow's own, or one that the flows there share.
// Its fields are under the front's lock, but for conn and server, which don't change.
type upstreamSocket struct {
	endpointID string
	conn       *net.UDPConn
	packets    *ipv4.PacketConn
	health     *endpointHealth
	boundFlows int // that have it

	// Of shared ones:
	writeDeadline time.Time // its writes' deadline
	canSendAt     time.Time // when MaySend was last asked, and what it said
	canSend       bool
	pending       []ipv4.Message // written by flush; their buffers are those of the read batch
	headers       [][maxProxyHeaderLen]byte
	segmenter     segmenter
	flushPending  bool // it is among the front's due
}

var errTooManySockets = errors.New("udp.sockets are used up")

// outlet returns a socket for one more flow to a next hop.
func (l *Listener) acquireSocket(endpointID string) (socket *upstreamSocket, opened bool, err error) {
	if socket := l.sharedSockets[endpointID]; socket != nil { // only shared ones are there
		socket.boundFlows++
		socket.health.boundFlows++
		return socket, false, nil
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
	socket = &upstreamSocket{endpointID: endpointID, conn: conn, boundFlows: 1, health: l.endpointHealth(endpointID, address)}
	socket.health.boundFlows++
	if l.options.SharedSockets {
		_ = conn.SetWriteBuffer(4 << 20) // as much of it as the machine allows
		_ = conn.SetReadBuffer(4 << 20)
		socket.packets = ipv4.NewPacketConn(conn)
		l.sharedSockets[endpointID] = socket
	}
	return socket, true, nil
}

// letGo ends one flow's use of a socket.
func (l *Listener) releaseSocket(socket *upstreamSocket) {
	socket.health.boundFlows--
	if socket.boundFlows--; socket.boundFlows > 0 {
		return
	}
	l.writePending(socket) // what it still has is the flow's that goes
	_ = socket.conn.Close()
	l.openSockets--
	if l.sharedSockets[socket.endpointID] == socket {
		delete(l.sharedSockets, socket.endpointID)
	}
}

// maySend looks whether a flow's next hop may still be sent to: for one socket once in
// each batch, which is read and written within the same moment.
func (l *Listener) canSend(target *placement, now time.Time) bool {
	socket := target.socket
	if !l.options.SharedSockets {
		return l.endpoints.CanSend(target.endpointID, now)
	}
	if socket.canSendAt != now {
		socket.canSendAt, socket.canSend = now, l.endpoints.CanSend(target.endpointID, now)
	}
	return socket.canSend
}

// send writes one datagram to a flow's next hop, under the lock: a drain that is
// told meanwhile is seen by the next look at MaySend, before the next write. Over a
// shared socket it goes with the batch, which is flushed under the same lock.
func (l *Listener) send(flow *binding, target *placement, datagram []byte) {
	target.socket.health.evidence.Sent(l.batchTime)
	if !l.options.SharedSockets {
		if l.options.ProxyHeader {
			datagram = append(appendProxyHeader(make([]byte, 0, maxProxyHeaderLen+len(datagram)), flow.client, l.addr, flowtable.Ref{}), datagram...)
		}
		if _, err := target.socket.conn.Write(datagram); err != nil {
			l.Counts.Unsent.Add(1)
			if isRefused(err) {
				l.replacePlacement(target, balance.Reset)
			}
			return // too large, or no buffers: that datagram alone is lost
		}
		l.Counts.Forwarded.Add(1)
		return
	}
	socket := target.socket
	index := len(socket.pending)
	if index < cap(socket.pending) {
		socket.pending = socket.pending[:index+1]
	} else {
		socket.pending = append(socket.pending, ipv4.Message{Buffers: make([][]byte, 0, 2)})
	}
	message := &socket.pending[index]
	message.Buffers = message.Buffers[:0]
	if l.options.ProxyHeader {
		if index == len(socket.headers) {
			socket.headers = append(socket.headers, [maxProxyHeaderLen]byte{})
		}
		message.Buffers = append(message.Buffers, appendProxyHeader(socket.headers[index][:0], flow.client, l.addr, target.ref))
	}
	message.Buffers = append(message.Buffers, datagram)
	if !socket.flushPending {
		socket.flushPending = true
		l.unflushed = append(l.unflushed, socket)
	}
	if index+1 == batchSize {
		l.writePending(socket)
	}
}

// flush writes what the sockets have.
func (l *Listener) flush() {
	unflushed := l.unflushed
	l.unflushed = l.unflushed[:0]
	for _, socket := range unflushed {
		socket.flushPending = false
		l.writePending(socket)
	}
}

// write writes what one socket has. A refusal is its next hop's: all flows there let it go.
func (l *Listener) writePending(socket *upstreamSocket) {
	pending := socket.pending
	if len(pending) == 0 {
		return
	}
	socket.pending = socket.pending[:0]
	if now := time.Now(); now.Add(writeTimeout).After(socket.writeDeadline) {
		socket.writeDeadline = now.Add(2 * writeTimeout) // not for each batch: it costs as much as a datagram
		_ = socket.conn.SetWriteDeadline(socket.writeDeadline)
	}
	refused := false
	messages := socket.segmenter.join(pending)
	for next := 0; next < len(messages); {
		written, err := socket.packets.WriteBatch(messages[next:], 0)
		for written = max(written, 0); written > 0; written-- {
			l.Counts.Forwarded.Add(int64(socket.segmenter.datagramsIn(next)))
			next++
		}
		switch {
		case err == nil || next == len(messages):
		case isRefused(err):
			refused = true // of something before: this one may still go, but to nobody
			fallthrough
		case socket.segmenter.datagramsIn(next) == 1: // too large, or no buffers: that datagram alone is lost
			l.Counts.Unsent.Add(int64(socket.segmenter.datagramsIn(next)))
			next++
		default: // the way there can't cut runs, it seems
			messages, next = socket.segmenter.splitFrom(next), 0
		}
	}
	if refused {
		l.connectionRefused(socket)
	}
}

// refused lets all flows of a next hop go whose port nobody has.
func (l *Listener) connectionRefused(socket *upstreamSocket) {
	l.replaceFlowsOf(socket.health)
}

// lose lets all flows of a next hop go, and returns how many there were.
func (l *Listener) replaceFlowsOf(health *endpointHealth) (replaced int) {
	for i := range l.bindings {
		if current := l.bindings[i].placement; current != nil && current.socket != nil && current.socket.health == health {
			l.replacePlacement(current, balance.Reset)
			replaced++
		}
	}
	return replaced
}

// sharedReplies passes on what a next hop answers over a shared socket, each to the client
// that its header names, if that one's flow stands there.
func (l *Listener) relaySharedReplies(socket *upstreamSocket) {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, typicalDatagramSize)}
	}
	replies := make([]ipv4.Message, 0, batchSize)
	for {
		n, err := socket.packets.ReadBatch(messages, 0)
		if err != nil {
			l.mu.Lock()
			if isRefused(err) {
				l.connectionRefused(socket)
			}
			unused := socket.boundFlows == 0
			l.mu.Unlock()
			if unused || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		replies = replies[:0]
		l.mu.Lock()
		elapsed := l.elapsed()
		for i := range messages[:n] {
			message := &messages[i]
			if message.Flags&truncatedFlag != 0 && len(message.Buffers[0]) < maxDatagramSize {
				message.Buffers[0] = make([]byte, maxDatagramSize) // this one is lost, the next is not
				l.Counts.UnmatchedReplies.Add(1)
				continue
			}
			if client, payload, ok := l.matchReply(socket, message.Buffers[0][:message.N], elapsed); ok {
				replies = append(replies, ipv4.Message{Buffers: [][]byte{payload}, Addr: net.UDPAddrFromAddrPort(client)})
			} else {
				l.Counts.UnmatchedReplies.Add(1)
			}
		}
		l.mu.Unlock()
		for unsent := replies; len(unsent) > 0; {
			n, err := l.packets.WriteBatch(unsent, 0)
			l.Counts.Replies.Add(int64(max(n, 0)))
			unsent = unsent[max(n, 0):]
			if err != nil && len(unsent) > 0 {
				unsent = unsent[1:]
			}
		}
	}
}

// whose tells the client that a reply is for. The flow whose mark it repeats must still
// have its place, and stand at the next hop that answers: another client may have that place,
// or the same address, by now.
func (l *Listener) matchReply(socket *upstreamSocket, datagram []byte, elapsed time.Duration) (client netip.AddrPort, payload []byte, ok bool) {
	if !l.options.ProxyHeader {
		socket.health.evidence.Received()
		return client, nil, false
	}
	client, _, ref, payload, err := parseProxyHeader(datagram)
	switch {
	case err != nil:
		return client, nil, false
	case mutation.Enabled("stale"):
		return client, payload, true
	case !l.table.IsValid(ref):
		return client, nil, false
	}
	if flow := &l.bindings[ref.Index]; flow.placement == nil || flow.placement.socket != socket {
		return client, nil, false
	}
	socket.health.evidence.Received() // not by what is stray: that may have been on its way for long
	l.table.Touch(ref, elapsed)
	return l.bindings[ref.Index].client, payload, true
}
