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
const writing = 10 * time.Millisecond

// outlet is a socket to a next hop: a flow's own, or one that the flows there share.
// Its fields are under the front's lock, but for conn and server, which don't change.
type outlet struct {
	server  string
	conn    *net.UDPConn
	packets *ipv4.PacketConn
	hop     *health
	flows   int // that have it

	// Of shared ones:
	until  time.Time // its writes' deadline
	looked time.Time // when MaySend was last asked, and what it said
	may    bool
	queue  []ipv4.Message // written by flush; their buffers are those of the read batch
	heads  [][longestProxy]byte
	runs   runs
	queued bool // it is among the front's due
}

var errSockets = errors.New("udp.sockets are used up")

// outlet returns a socket for one more flow to a next hop.
func (f *Listener) outlet(server string) (out *outlet, made bool, err error) {
	if out := f.outlets[server]; out != nil { // only shared ones are there
		out.flows++
		out.hop.flows++
		return out, false, nil
	}
	if f.sockets >= f.o.Sockets {
		return nil, false, errSockets
	}
	addr, err := netip.ParseAddrPort(f.hops.Address(server))
	if err != nil {
		return nil, false, fmt.Errorf("%s: %w", server, err)
	}
	conn, err := f.ports.dial(addr)
	if err != nil {
		return nil, false, err
	}
	f.sockets++
	out = &outlet{server: server, conn: conn, flows: 1, hop: f.healthOf(server, addr)}
	out.hop.flows++
	if f.o.SharedSockets {
		_ = conn.SetWriteBuffer(4 << 20) // as much of it as the machine allows
		_ = conn.SetReadBuffer(4 << 20)
		out.packets = ipv4.NewPacketConn(conn)
		f.outlets[server] = out
	}
	return out, true, nil
}

// letGo ends one flow's use of a socket.
func (f *Listener) letGo(out *outlet) {
	out.hop.flows--
	if out.flows--; out.flows > 0 {
		return
	}
	f.write(out) // what it still has is the flow's that goes
	_ = out.conn.Close()
	f.sockets--
	if f.outlets[out.server] == out {
		delete(f.outlets, out.server)
	}
}

// maySend looks whether a flow's next hop may still be sent to: for one socket once in
// each batch, which is read and written within the same moment.
func (f *Listener) maySend(x *item, now time.Time) bool {
	out := x.out
	if !f.o.SharedSockets {
		return f.hops.CanSend(x.server, now)
	}
	if out.looked != now {
		out.looked, out.may = now, f.hops.CanSend(x.server, now)
	}
	return out.may
}

// send writes one datagram to a flow's next hop, under the lock: a drain that is
// told meanwhile is seen by the next look at MaySend, before the next write. Over a
// shared socket it goes with the batch, which is flushed under the same lock.
func (f *Listener) send(p *place, x *item, d []byte) {
	x.out.hop.evidence.Sent(f.clock)
	if !f.o.SharedSockets {
		if f.o.ProxyHeader {
			d = append(appendProxy(make([]byte, 0, longestProxy+len(d)), p.client, f.addr, flowtable.Ref{}), d...)
		}
		if _, err := x.out.conn.Write(d); err != nil {
			f.Counts.Unsent.Add(1)
			if isRefused(err) {
				f.replace(x, balance.Reset)
			}
			return // too large, or no buffers: that datagram alone is lost
		}
		f.Counts.Forwarded.Add(1)
		return
	}
	out := x.out
	n := len(out.queue)
	if n < cap(out.queue) {
		out.queue = out.queue[:n+1]
	} else {
		out.queue = append(out.queue, ipv4.Message{Buffers: make([][]byte, 0, 2)})
	}
	m := &out.queue[n]
	m.Buffers = m.Buffers[:0]
	if f.o.ProxyHeader {
		if n == len(out.heads) {
			out.heads = append(out.heads, [longestProxy]byte{})
		}
		m.Buffers = append(m.Buffers, appendProxy(out.heads[n][:0], p.client, f.addr, x.ref))
	}
	m.Buffers = append(m.Buffers, d)
	if !out.queued {
		out.queued = true
		f.due = append(f.due, out)
	}
	if n+1 == batch {
		f.write(out)
	}
}

// flush writes what the sockets have.
func (f *Listener) flush() {
	due := f.due
	f.due = f.due[:0]
	for _, out := range due {
		out.queued = false
		f.write(out)
	}
}

// write writes what one socket has. A refusal is its next hop's: all flows there let it go.
func (f *Listener) write(out *outlet) {
	list := out.queue
	if len(list) == 0 {
		return
	}
	out.queue = out.queue[:0]
	if now := time.Now(); now.Add(writing).After(out.until) {
		out.until = now.Add(2 * writing) // not for each batch: it costs as much as a datagram
		_ = out.conn.SetWriteDeadline(out.until)
	}
	refused := false
	messages := out.runs.join(list)
	for at := 0; at < len(messages); {
		n, err := out.packets.WriteBatch(messages[at:], 0)
		for n = max(n, 0); n > 0; n-- {
			f.Counts.Forwarded.Add(int64(out.runs.length(at)))
			at++
		}
		switch {
		case err == nil || at == len(messages):
		case isRefused(err):
			refused = true // of something before: this one may still go, but to nobody
			fallthrough
		case out.runs.length(at) == 1: // too large, or no buffers: that datagram alone is lost
			f.Counts.Unsent.Add(int64(out.runs.length(at)))
			at++
		default: // the way there can't cut runs, it seems
			messages, at = out.runs.part(at), 0
		}
	}
	if refused {
		f.refused(out)
	}
}

// refused lets all flows of a next hop go whose port nobody has.
func (f *Listener) refused(out *outlet) {
	f.lose(out.hop)
}

// lose lets all flows of a next hop go, and returns how many there were.
func (f *Listener) lose(h *health) (n int) {
	for i := range f.flows {
		if x := f.flows[i].item; x != nil && x.out != nil && x.out.hop == h {
			f.replace(x, balance.Reset)
			n++
		}
	}
	return n
}

// sharedReplies passes on what a next hop answers over a shared socket, each to the client
// that its header names, if that one's flow stands there.
func (f *Listener) sharedReplies(out *outlet) {
	messages := make([]ipv4.Message, batch)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, usual)}
	}
	back := make([]ipv4.Message, 0, batch)
	for {
		n, err := out.packets.ReadBatch(messages, 0)
		if err != nil {
			f.mu.Lock()
			if isRefused(err) {
				f.refused(out)
			}
			gone := out.flows == 0
			f.mu.Unlock()
			if gone || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		back = back[:0]
		f.mu.Lock()
		at := f.now()
		for i := range messages[:n] {
			m := &messages[i]
			if m.Flags&truncated != 0 && len(m.Buffers[0]) < largest {
				m.Buffers[0] = make([]byte, largest) // this one is lost, the next is not
				f.Counts.Stray.Add(1)
				continue
			}
			if client, text, ok := f.whose(out, m.Buffers[0][:m.N], at); ok {
				back = append(back, ipv4.Message{Buffers: [][]byte{text}, Addr: net.UDPAddrFromAddrPort(client)})
			} else {
				f.Counts.Stray.Add(1)
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
func (f *Listener) whose(out *outlet, d []byte, at time.Duration) (client netip.AddrPort, text []byte, ok bool) {
	if !f.o.ProxyHeader {
		out.hop.evidence.Received()
		return client, nil, false
	}
	client, _, r, text, err := cutProxy(d)
	switch {
	case err != nil:
		return client, nil, false
	case mutation.Enabled("stale"):
		return client, text, true
	case !f.table.IsValid(r):
		return client, nil, false
	}
	if p := &f.flows[r.Index]; p.item == nil || p.item.out != out {
		return client, nil, false
	}
	out.hop.evidence.Received() // not by what is stray: that may have been on its way for long
	f.table.Touch(r, at)
	return f.flows[r.Index].client, text, true
}
