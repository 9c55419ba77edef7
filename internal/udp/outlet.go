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
func (f *Listener) acquireSocket(server string) (out *upstreamSocket, made bool, err error) {
	if out := f.sharedSockets[server]; out != nil { // only shared ones are there
		out.boundFlows++
		out.health.boundFlows++
		return out, false, nil
	}
	if f.openSockets >= f.options.Sockets {
		return nil, false, errTooManySockets
	}
	addr, err := netip.ParseAddrPort(f.endpoints.Address(server))
	if err != nil {
		return nil, false, fmt.Errorf("%s: %w", server, err)
	}
	conn, err := f.sourcePorts.dial(addr)
	if err != nil {
		return nil, false, err
	}
	f.openSockets++
	out = &upstreamSocket{endpointID: server, conn: conn, boundFlows: 1, health: f.endpointHealth(server, addr)}
	out.health.boundFlows++
	if f.options.SharedSockets {
		_ = conn.SetWriteBuffer(4 << 20) // as much of it as the machine allows
		_ = conn.SetReadBuffer(4 << 20)
		out.packets = ipv4.NewPacketConn(conn)
		f.sharedSockets[server] = out
	}
	return out, true, nil
}

// letGo ends one flow's use of a socket.
func (f *Listener) releaseSocket(out *upstreamSocket) {
	out.health.boundFlows--
	if out.boundFlows--; out.boundFlows > 0 {
		return
	}
	f.writePending(out) // what it still has is the flow's that goes
	_ = out.conn.Close()
	f.openSockets--
	if f.sharedSockets[out.endpointID] == out {
		delete(f.sharedSockets, out.endpointID)
	}
}

// maySend looks whether a flow's next hop may still be sent to: for one socket once in
// each batch, which is read and written within the same moment.
func (f *Listener) canSend(x *placement, now time.Time) bool {
	out := x.socket
	if !f.options.SharedSockets {
		return f.endpoints.CanSend(x.endpointID, now)
	}
	if out.canSendAt != now {
		out.canSendAt, out.canSend = now, f.endpoints.CanSend(x.endpointID, now)
	}
	return out.canSend
}

// send writes one datagram to a flow's next hop, under the lock: a drain that is
// told meanwhile is seen by the next look at MaySend, before the next write. Over a
// shared socket it goes with the batch, which is flushed under the same lock.
func (f *Listener) send(p *binding, x *placement, d []byte) {
	x.socket.health.evidence.Sent(f.batchTime)
	if !f.options.SharedSockets {
		if f.options.ProxyHeader {
			d = append(appendProxyHeader(make([]byte, 0, maxProxyHeaderLen+len(d)), p.client, f.addr, flowtable.Ref{}), d...)
		}
		if _, err := x.socket.conn.Write(d); err != nil {
			f.Counts.Unsent.Add(1)
			if isRefused(err) {
				f.replacePlacement(x, balance.Reset)
			}
			return // too large, or no buffers: that datagram alone is lost
		}
		f.Counts.Forwarded.Add(1)
		return
	}
	out := x.socket
	n := len(out.pending)
	if n < cap(out.pending) {
		out.pending = out.pending[:n+1]
	} else {
		out.pending = append(out.pending, ipv4.Message{Buffers: make([][]byte, 0, 2)})
	}
	m := &out.pending[n]
	m.Buffers = m.Buffers[:0]
	if f.options.ProxyHeader {
		if n == len(out.headers) {
			out.headers = append(out.headers, [maxProxyHeaderLen]byte{})
		}
		m.Buffers = append(m.Buffers, appendProxyHeader(out.headers[n][:0], p.client, f.addr, x.ref))
	}
	m.Buffers = append(m.Buffers, d)
	if !out.flushPending {
		out.flushPending = true
		f.unflushed = append(f.unflushed, out)
	}
	if n+1 == batchSize {
		f.writePending(out)
	}
}

// flush writes what the sockets have.
func (f *Listener) flush() {
	due := f.unflushed
	f.unflushed = f.unflushed[:0]
	for _, out := range due {
		out.flushPending = false
		f.writePending(out)
	}
}

// write writes what one socket has. A refusal is its next hop's: all flows there let it go.
func (f *Listener) writePending(out *upstreamSocket) {
	list := out.pending
	if len(list) == 0 {
		return
	}
	out.pending = out.pending[:0]
	if now := time.Now(); now.Add(writeTimeout).After(out.writeDeadline) {
		out.writeDeadline = now.Add(2 * writeTimeout) // not for each batch: it costs as much as a datagram
		_ = out.conn.SetWriteDeadline(out.writeDeadline)
	}
	refused := false
	messages := out.segmenter.join(list)
	for at := 0; at < len(messages); {
		n, err := out.packets.WriteBatch(messages[at:], 0)
		for n = max(n, 0); n > 0; n-- {
			f.Counts.Forwarded.Add(int64(out.segmenter.datagramsIn(at)))
			at++
		}
		switch {
		case err == nil || at == len(messages):
		case isRefused(err):
			refused = true // of something before: this one may still go, but to nobody
			fallthrough
		case out.segmenter.datagramsIn(at) == 1: // too large, or no buffers: that datagram alone is lost
			f.Counts.Unsent.Add(int64(out.segmenter.datagramsIn(at)))
			at++
		default: // the way there can't cut runs, it seems
			messages, at = out.segmenter.splitFrom(at), 0
		}
	}
	if refused {
		f.connectionRefused(out)
	}
}

// refused lets all flows of a next hop go whose port nobody has.
func (f *Listener) connectionRefused(out *upstreamSocket) {
	f.replaceFlowsOf(out.health)
}

// lose lets all flows of a next hop go, and returns how many there were.
func (f *Listener) replaceFlowsOf(h *endpointHealth) (n int) {
	for i := range f.bindings {
		if x := f.bindings[i].placement; x != nil && x.socket != nil && x.socket.health == h {
			f.replacePlacement(x, balance.Reset)
			n++
		}
	}
	return n
}

// sharedReplies passes on what a next hop answers over a shared socket, each to the client
// that its header names, if that one's flow stands there.
func (f *Listener) relaySharedReplies(out *upstreamSocket) {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, typicalDatagramSize)}
	}
	back := make([]ipv4.Message, 0, batchSize)
	for {
		n, err := out.packets.ReadBatch(messages, 0)
		if err != nil {
			f.mu.Lock()
			if isRefused(err) {
				f.connectionRefused(out)
			}
			gone := out.boundFlows == 0
			f.mu.Unlock()
			if gone || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		back = back[:0]
		f.mu.Lock()
		at := f.elapsed()
		for i := range messages[:n] {
			m := &messages[i]
			if m.Flags&truncatedFlag != 0 && len(m.Buffers[0]) < maxDatagramSize {
				m.Buffers[0] = make([]byte, maxDatagramSize) // this one is lost, the next is not
				f.Counts.UnmatchedReplies.Add(1)
				continue
			}
			if client, text, ok := f.matchReply(out, m.Buffers[0][:m.N], at); ok {
				back = append(back, ipv4.Message{Buffers: [][]byte{text}, Addr: net.UDPAddrFromAddrPort(client)})
			} else {
				f.Counts.UnmatchedReplies.Add(1)
			}
		}
		f.mu.Unlock()
		for list := back; len(list) > 0; {
			n, err := f.packets.WriteBatch(list, 0)
			f.Counts.Replies.Add(int64(max(n, 0)))
			list = list[max(n, 0):]
			if err != nil && len(list) > 0 {
				list = list[1:]
			}
		}
	}
}

// whose tells the client that a reply is for. The flow whose mark it repeats must still
// have its place, and stand at the next hop that answers: another client may have that place,
// or the same address, by now.
func (f *Listener) matchReply(out *upstreamSocket, d []byte, at time.Duration) (client netip.AddrPort, text []byte, ok bool) {
	if !f.options.ProxyHeader {
		out.health.evidence.Received()
		return client, nil, false
	}
	client, _, r, text, err := parseProxyHeader(d)
	switch {
	case err != nil:
		return client, nil, false
	case mutation.Enabled("stale"):
		return client, text, true
	case !f.table.IsValid(r):
		return client, nil, false
	}
	if p := &f.bindings[r.Index]; p.placement == nil || p.placement.socket != out {
		return client, nil, false
	}
	out.health.evidence.Received() // not by what is stray: that may have been on its way for long
	f.table.Touch(r, at)
	return f.bindings[r.Index].client, text, true
}
