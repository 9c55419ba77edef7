package udp

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"coralrelay/balance"
	"coralrelay/internal/mutation"
)

// readErrorPause is the pause after a read of replies that failed for a local reason.
const readErrorPause = 5 * time.Millisecond

// startReplies starts the goroutine that relays the replies from a new upstream socket.
func (l *Listener) startReplies(established *placement, socket *upstreamSocket) {
	if l.options.SharedSockets {
		l.wg.Go(func() { l.relaySharedReplies(socket) })
	} else {
		l.wg.Go(func() { l.relayReplies(established, socket.conn) })
	}
}

// relayReplies relays an endpoint's replies to the flow's client. Only this placement uses the
// socket, which is closed when the placement ends.
func (l *Listener) relayReplies(current *placement, conn *net.UDPConn) {
	client := l.clientAddress(current)
	buffer := make([]byte, typicalDatagramSize)
	for {
		n, _, flags, _, err := conn.ReadMsgUDPAddrPort(buffer, nil)
		if err != nil {
			if l.handleReadError(current, err) {
				return
			}
			continue
		}
		if flags&truncatedFlag != 0 && len(buffer) < maxDatagramSize {
			buffer = make([]byte, maxDatagramSize) // for later replies; this one is dropped
			l.Counts.UnmatchedReplies.Add(1)
			continue
		}
		if !l.recordReply(current) {
			l.Counts.UnmatchedReplies.Add(1)
			continue
		}
		if _, err := l.conn.WriteToUDPAddrPort(buffer[:n], client); err == nil {
			l.Counts.Replies.Add(1)
		}
	}
}

func (l *Listener) clientAddress(current *placement) netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bindings[current.ref.Index].client
}

// pauseAfterReadError counts a read error and sleeps for readErrorPause, so that a persistent
// error does not cause a busy loop. It does neither if the endpoint refused a datagram or the
// socket is closed.
func (l *Listener) pauseAfterReadError(err error) {
	if !isRefused(err) && !errors.Is(err, net.ErrClosed) {
		l.Counts.ReadErrors.Add(1)
		time.Sleep(readErrorPause)
	}
}

// handleReadError replaces the placement if its endpoint refused a datagram. It returns whether
// the placement has ended, which closes its socket.
func (l *Listener) handleReadError(current *placement, err error) (ended bool) {
	l.pauseAfterReadError(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if isRefused(err) && !current.ended {
		l.replacePlacement(current, balance.Reset)
	}
	return current.ended || errors.Is(err, net.ErrClosed)
}

// recordReply records a reply to a flow. It returns false if the placement has ended.
func (l *Listener) recordReply(current *placement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current.ended || !l.table.IsValid(current.ref) {
		return false
	}
	current.socket.health.evidence.Received()
	l.table.Touch(current.ref, l.elapsed())
	return true
}

// relaySharedReplies relays the replies that arrive at a shared socket, each to the client of the
// flow that the reply's PROXY header refers to.
func (l *Listener) relaySharedReplies(socket *upstreamSocket) {
	messages := newBatch(typicalDatagramSize)
	replies := make([]ipv4.Message, 0, batchSize)
	for {
		n, err := socket.packets.ReadBatch(messages, 0)
		if err != nil {
			if l.handleSharedReadError(socket, err) {
				return
			}
			continue
		}
		replies = l.matchReplies(socket, messages[:n], replies[:0])
		l.writeReplies(replies)
	}
}

// handleSharedReadError replaces all placements at the endpoint if it refused a datagram. It
// returns whether the socket is closed.
func (l *Listener) handleSharedReadError(socket *upstreamSocket, err error) (closed bool) {
	l.pauseAfterReadError(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if isRefused(err) {
		l.replaceFlowsOf(socket.health)
	}
	return socket.boundFlows == 0 || errors.Is(err, net.ErrClosed)
}

// matchReplies appends to replies the message to the client for each datagram from a shared socket
// that matches a flow, and returns the extended slice.
func (l *Listener) matchReplies(socket *upstreamSocket, messages, replies []ipv4.Message) []ipv4.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := l.elapsed()
	for i := range messages {
		message := &messages[i]
		if message.Flags&truncatedFlag != 0 && len(message.Buffers[0]) < maxDatagramSize {
			message.Buffers[0] = make([]byte, maxDatagramSize) // for later replies; this one is dropped
			l.Counts.UnmatchedReplies.Add(1)
			continue
		}
		client, payload, ok := l.matchReply(socket, message.Buffers[0][:message.N], elapsed)
		if !ok {
			l.Counts.UnmatchedReplies.Add(1)
			continue
		}
		reply := ipv4.Message{Buffers: [][]byte{payload}, Addr: net.UDPAddrFromAddrPort(client)}
		replies = append(replies, reply)
	}
	return replies
}

// matchReply returns the client and the payload of a reply. It returns false unless the flow that
// the header refers to is still in the table and bound to this socket, because the table entry or
// the client's address may belong to another flow by then.
func (l *Listener) matchReply(
	socket *upstreamSocket, datagram []byte, elapsed time.Duration,
) (client netip.AddrPort, payload []byte, ok bool) {
	if !l.options.ProxyHeader {
		socket.health.evidence.Received()
		return netip.AddrPort{}, nil, false
	}
	client, _, ref, payload, err := parseProxyHeader(datagram)
	switch {
	case err != nil:
		return netip.AddrPort{}, nil, false
	case mutation.Enabled("stale"):
		return client, payload, true
	case !l.table.IsValid(ref):
		return netip.AddrPort{}, nil, false
	}
	flow := &l.bindings[ref.Index]
	if flow.placement == nil || flow.placement.socket != socket {
		return netip.AddrPort{}, nil, false
	}
	// Only matched replies count for the endpoint's liveness; unmatched ones may be long delayed.
	socket.health.evidence.Received()
	l.table.Touch(ref, elapsed)
	return flow.client, payload, true
}

// writeReplies writes replies to clients. It skips a reply whose write fails.
func (l *Listener) writeReplies(unsent []ipv4.Message) {
	for len(unsent) > 0 {
		n, err := l.packets.WriteBatch(unsent, 0)
		written := max(n, 0)
		l.Counts.Replies.Add(int64(written))
		unsent = unsent[written:]
		if err != nil && len(unsent) > 0 {
			unsent = unsent[1:]
		}
	}
}
