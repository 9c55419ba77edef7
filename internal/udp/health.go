package udp

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"coralrelay/internal/flowtable"
	"coralrelay/internal/mutation"
)

const (
	// seeks is how often silent next hops are looked for, and asks how often one is sent an echo.
	seeks, asks = 250 * time.Millisecond, time.Second
)

// health is what the front keeps of a next hop, under its lock.
type health struct {
	server   string
	flows    int // that stand there
	evidence flowtable.LivenessEvidence

	echo     *net.UDPConn // nil where probes tell
	asked    bool         // an echo is out
	answered bool
	askAt    time.Time
}

// healthOf returns a next hop's, which is kept for as long as the list names it: what it
// used to do counts when it has flows again.
func (f *Listener) healthOf(server string, addr netip.AddrPort) *health {
	h := f.health[server]
	if h == nil {
		h = &health{server: server}
		f.health[server] = h
	}
	if h.echo == nil && f.o.Echo != "" && f.o.Silence.After > 0 {
		conn, err := f.ports.dial(addr)
		if err != nil {
			f.failed.Warn("udp: socket for echoes", "nexthop", server, "err", err)
			return h
		}
		h.echo = conn
		f.wg.Go(func() { f.echoes(h, conn) })
	}
	return h
}

func (h *health) close() {
	if h.echo != nil {
		_ = h.echo.Close()
		h.echo = nil
	}
}

// echoes notes what answers an echo, whatever it says.
func (f *Listener) echoes(h *health, conn *net.UDPConn) {
	b := make([]byte, usual)
	for {
		_, err := conn.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		f.mu.Lock()
		if h.echo != conn {
			f.mu.Unlock()
			return
		}
		h.answered = h.answered || err == nil
		f.mu.Unlock()
	}
}

// leaveSilent looks which next hops have fallen silent; their flows let them go, and come back
// elsewhere with their next datagrams, at the pace.
func (f *Listener) leaveSilent(now time.Time) {
	if f.o.Silence.After <= 0 || now.Before(f.soughtAt) {
		return
	}
	f.soughtAt = now.Add(seeks)
	at := now.Sub(f.start)
	for _, h := range f.health {
		if h.flows == 0 {
			h.close() // it is asked while it has flows
			h.asked = false
			continue
		}
		f.inquire(h, now)
		if !h.evidence.IsSilent(at, f.o.Silence) || mutation.Enabled("silence") {
			continue
		}
		n := f.lose(h)
		h.evidence.FlowRemoved()
		f.Counts.Silent.Add(int64(n))
		slog.Warn("udp: a next hop is silent, its flows go elsewhere", "nexthop", h.server, "flows", n)
	}
}

// inquire takes the latest word on a next hop, and asks for another.
func (f *Listener) inquire(h *health, now time.Time) {
	at := now.Sub(f.start)
	switch {
	case h.echo == nil:
		h.evidence.ProbeAnswered(at, f.hops.IsResponsive(h.server))
	case now.Before(h.askAt):
		if h.answered {
			h.evidence.ProbeAnswered(at, true)
		}
	default:
		if h.asked {
			h.evidence.ProbeAnswered(at, h.answered)
		}
		h.asked, h.answered, h.askAt = true, false, now.Add(asks)
		_, _ = h.echo.Write([]byte(f.o.Echo)) // a refusal shows at the flows' sockets
	}
}
