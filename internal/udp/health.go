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
	silenceCheckInterval, echoInterval = 250 * time.Millisecond, time.Second
)

// health is what the front keeps of a next hop, under its lock.
type endpointHealth struct {
	endpointID string
	boundFlows int // that stand there
	evidence   flowtable.LivenessEvidence

	echoConn     *net.UDPConn // nil where probes tell
	echoSent     bool         // an echo is out
	echoAnswered bool
	nextEchoAt   time.Time
}

// healthOf returns a next hop's, which is kept for as long as the list names it: what it
// used to do counts when it has flows again.
func (f *Listener) endpointHealth(server string, addr netip.AddrPort) *endpointHealth {
	h := f.health[server]
	if h == nil {
		h = &endpointHealth{endpointID: server}
		f.health[server] = h
	}
	if h.echoConn == nil && f.options.Echo != "" && f.options.Silence.After > 0 {
		conn, err := f.sourcePorts.dial(addr)
		if err != nil {
			f.warnings.Warn("udp: socket for echoes", "nexthop", server, "err", err)
			return h
		}
		h.echoConn = conn
		f.wg.Go(func() { f.readEchoes(h, conn) })
	}
	return h
}

func (h *endpointHealth) close() {
	if h.echoConn != nil {
		_ = h.echoConn.Close()
		h.echoConn = nil
	}
}

// echoes notes what answers an echo, whatever it says.
func (f *Listener) readEchoes(h *endpointHealth, conn *net.UDPConn) {
	b := make([]byte, typicalDatagramSize)
	for {
		_, err := conn.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		f.mu.Lock()
		if h.echoConn != conn {
			f.mu.Unlock()
			return
		}
		h.echoAnswered = h.echoAnswered || err == nil
		f.mu.Unlock()
	}
}

// leaveSilent looks which next hops have fallen silent; their flows let them go, and come back
// elsewhere with their next datagrams, at the pace.
func (f *Listener) replaceSilent(now time.Time) {
	if f.options.Silence.After <= 0 || now.Before(f.silenceCheckAt) {
		return
	}
	f.silenceCheckAt = now.Add(silenceCheckInterval)
	at := now.Sub(f.start)
	for _, h := range f.health {
		if h.boundFlows == 0 {
			h.close() // it is asked while it has flows
			h.echoSent = false
			continue
		}
		f.probe(h, now)
		if !h.evidence.IsSilent(at, f.options.Silence) || mutation.Enabled("silence") {
			continue
		}
		n := f.replaceFlowsOf(h)
		h.evidence.FlowRemoved()
		f.Counts.Silent.Add(int64(n))
		slog.Warn("udp: a next hop is silent, its flows go elsewhere", "nexthop", h.endpointID, "flows", n)
	}
}

// inquire takes the latest word on a next hop, and asks for another.
func (f *Listener) probe(h *endpointHealth, now time.Time) {
	at := now.Sub(f.start)
	switch {
	case h.echoConn == nil:
		h.evidence.ProbeAnswered(at, f.endpoints.IsResponsive(h.endpointID))
	case now.Before(h.nextEchoAt):
		if h.echoAnswered {
			h.evidence.ProbeAnswered(at, true)
		}
	default:
		if h.echoSent {
			h.evidence.ProbeAnswered(at, h.echoAnswered)
		}
		h.echoSent, h.echoAnswered, h.nextEchoAt = true, false, now.Add(echoInterval)
		_, _ = h.echoConn.Write([]byte(f.options.Echo)) // a refusal shows at the flows' sockets
	}
}
