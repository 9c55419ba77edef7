package udp

import (
	"errors"
	"os"
	"time"

	"golang.org/x/net/ipv4"

	"coralrelay/balance"
	"coralrelay/internal/flowtable"
)

// writeTimeout is the minimum time that a batch may wait for space in a socket's buffer. The write
// holds the listener's mutex, so datagrams are dropped after the deadline instead of delaying all
// other flows.
const writeTimeout = 10 * time.Millisecond

// send writes one datagram to a flow's endpoint, or adds it to the batch that flush writes. The
// caller holds the mutex from the call of canSend until the write, so that a drain that is
// announced in between takes effect before the next write.
func (l *Listener) send(flow *binding, target *placement, datagram []byte) {
	target.socket.health.evidence.Sent(l.batchTime)
	if l.options.SharedSockets {
		l.appendPending(flow, target, datagram)
	} else {
		l.writeNow(flow, target, datagram)
	}
}

// writeNow writes a datagram to the flow's own socket.
func (l *Listener) writeNow(flow *binding, target *placement, datagram []byte) {
	if l.options.ProxyHeader {
		withHeader := make([]byte, 0, maxProxyHeaderLen+len(datagram))
		withHeader = appendProxyHeader(withHeader, flow.client, l.addr, flowtable.Ref{})
		datagram = append(withHeader, datagram...)
	}
	_, err := target.socket.conn.Write(datagram)
	if err == nil {
		l.Counts.Forwarded.Add(1)
		return
	}
	l.Counts.Unsent.Add(1)
	if isRefused(err) { // other errors, such as a datagram too large or no buffer space, keep the flow
		l.replacePlacement(target, balance.Reset)
	}
}

// appendPending adds a datagram to the batch of a shared socket.
func (l *Listener) appendPending(flow *binding, target *placement, datagram []byte) {
	socket := target.socket
	index := len(socket.pending)
	message := socket.nextPending()
	if l.options.ProxyHeader {
		if index == len(socket.headers) {
			socket.headers = append(socket.headers, [maxProxyHeaderLen]byte{})
		}
		header := appendProxyHeader(socket.headers[index][:0], flow.client, l.addr, target.ref)
		message.Buffers = append(message.Buffers, header)
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

// nextPending adds a message without buffers to the batch. It reuses messages of earlier batches.
func (s *upstreamSocket) nextPending() *ipv4.Message {
	index := len(s.pending)
	if index < cap(s.pending) {
		s.pending = s.pending[:index+1]
	} else {
		s.pending = append(s.pending, ipv4.Message{Buffers: make([][]byte, 0, 2)})
	}
	message := &s.pending[index]
	message.Buffers = message.Buffers[:0]
	return message
}

// flush writes the batches of all shared sockets.
func (l *Listener) flush() {
	unflushed := l.unflushed
	l.unflushed = l.unflushed[:0]
	for _, socket := range unflushed {
		socket.flushPending = false
		l.writePending(socket)
	}
}

// writePending writes the batch of one shared socket. If the endpoint refuses a datagram, all
// placements at the endpoint are replaced.
func (l *Listener) writePending(socket *upstreamSocket) {
	if len(socket.pending) == 0 {
		return
	}
	pending := socket.pending
	socket.pending = socket.pending[:0]
	socket.extendWriteDeadline()
	if refused := l.writeMessages(socket, pending); refused {
		l.replaceFlowsOf(socket.health)
	}
}

// extendWriteDeadline ensures that the deadline is at least writeTimeout away. One deadline serves
// several batches, because setting it costs as much as writing a datagram.
func (s *upstreamSocket) extendWriteDeadline() {
	if time.Now().Add(writeTimeout).After(s.writeDeadline) {
		s.renewWriteDeadline()
	}
}

func (s *upstreamSocket) renewWriteDeadline() {
	s.writeDeadline = time.Now().Add(2 * writeTimeout)
	_ = s.conn.SetWriteDeadline(s.writeDeadline)
}

// writeMessages writes a batch, counts its datagrams and returns whether the endpoint refused any.
// It renews the deadline once, because the deadline may have passed before the write if the process
// was not scheduled in time.
func (l *Listener) writeMessages(socket *upstreamSocket, pending []ipv4.Message) (refused bool) {
	segmenter := &socket.segmenter
	messages := segmenter.join(pending)
	mayRenew := true
	for next := 0; next < len(messages); {
		written, err := socket.packets.WriteBatch(messages[next:], 0)
		for range written { // no iteration if written is negative
			l.Counts.Forwarded.Add(int64(segmenter.datagramsIn(next)))
			next++
		}
		if err == nil || next == len(messages) {
			continue
		}
		if mayRenew && errors.Is(err, os.ErrDeadlineExceeded) {
			mayRenew = false
			socket.renewWriteDeadline()
			continue
		}
		datagrams := segmenter.datagramsIn(next)
		if isRefused(err) {
			refused = true // an ICMP error for an earlier write; this message is dropped as well
		} else if datagrams > 1 { // the route probably does not support segmentation
			messages, next = segmenter.splitFrom(next), 0
			continue
		}
		l.Counts.Unsent.Add(int64(datagrams)) // too large, no buffer space or refused: drop only this message
		next++
	}
	return refused
}
