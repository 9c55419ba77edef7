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
func (l *Listener) endpointHealth(endpointID string, address netip.AddrPort) *endpointHealth {
	h := l.health[endpointID]
	if h == nil {
		h = &endpointHealth{endpointID: endpointID}
		l.health[endpointID] = h
	}
	if h.echoConn == nil && l.options.Echo != "" && l.options.Silence.After > 0 {
		conn, err := l.sourcePorts.dial(address)
		if err != nil {
			l.warnings.Warn("udp: socket for echoes", "nexthop", endpointID, "err", err)
			return h
		}
		h.echoConn = conn
		l.wg.Go(func() { l.readEchoes(h, conn) })
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
func (l *Listener) readEchoes(h *endpointHealth, conn *net.UDPConn) {
	buffer := make([]byte, typicalDatagramSize)
	for {
		_, err := conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		l.mu.Lock()
		if h.echoConn != conn {
			l.mu.Unlock()
			return
		}
		h.echoAnswered = h.echoAnswered || err == nil
		l.mu.Unlock()
	}
}

// leaveSilent looks which next hops have fallen silent; their flows let them go, and come back
// elsewhere with their next datagrams, at the pace.
func (l *Listener) replaceSilent(now time.Time) {
	if l.options.Silence.After <= 0 || now.Before(l.silenceCheckAt) {
		return
	}
	l.silenceCheckAt = now.Add(silenceCheckInterval)
	elapsed := now.Sub(l.start)
	for _, h := range l.health {
		if h.boundFlows == 0 {
			h.close() // it is asked while it has flows
			h.echoSent = false
			continue
		}
		l.probe(h, now)
		if !h.evidence.IsSilent(elapsed, l.options.Silence) || mutation.Enabled("silence") {
			continue
		}
		replaced := l.replaceFlowsOf(h)
		h.evidence.FlowRemoved()
		l.Counts.Silent.Add(int64(replaced))
		slog.Warn("udp: a next hop is silent, its flows go elsewhere", "nexthop", h.endpointID, "flows", replaced)
	}
}

// inquire takes the latest word on a next hop, and asks for another.
func (l *Listener) probe(h *endpointHealth, now time.Time) {
	elapsed := now.Sub(l.start)
	switch {
	case h.echoConn == nil:
		h.evidence.ProbeAnswered(elapsed, l.endpoints.IsResponsive(h.endpointID))
	case now.Before(h.nextEchoAt):
		if h.echoAnswered {
			h.evidence.ProbeAnswered(elapsed, true)
		}
	default:
		if h.echoSent {
			h.evidence.ProbeAnswered(elapsed, h.echoAnswered)
		}
		h.echoSent, h.echoAnswered, h.nextEchoAt = true, false, now.Add(echoInterval)
		_, _ = h.echoConn.Write([]byte(l.options.Echo)) // a refusal shows at the flows' sockets
	}
}
