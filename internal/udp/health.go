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
	// silenceCheckInterval is the time between checks for silent endpoints.
	silenceCheckInterval = 250 * time.Millisecond
	// echoInterval is the time between echo requests to an endpoint.
	echoInterval = time.Second
)

// endpointHealth is the liveness state of one endpoint. The listener's mutex protects it.
type endpointHealth struct {
	endpointID string
	boundFlows int
	evidence   flowtable.LivenessEvidence

	echoConn     *net.UDPConn // nil if the results of probes are used
	echoSent     bool
	echoAnswered bool // since the latest echo request was sent
	nextEchoAt   time.Time
}

// endpointHealth returns the health of an endpoint and opens its echo socket if echoes are
// configured. The health is kept while the endpoint is listed, so that its answered share still
// applies when the endpoint has flows again.
func (l *Listener) endpointHealth(endpointID string, address netip.AddrPort) *endpointHealth {
	h := l.health[endpointID]
	if h == nil {
		h = &endpointHealth{endpointID: endpointID}
		l.health[endpointID] = h
	}
	if h.echoConn != nil || l.options.Echo == "" || l.options.Silence.After <= 0 {
		return h
	}
	conn, err := l.sourcePorts.dial(address)
	if err != nil {
		l.warnings.Warn("cannot open echo socket",
			"component", component, "endpoint", endpointID, "error", err)
		return h
	}
	h.echoConn = conn
	l.wg.Go(func() { l.readEchoes(h, conn) })
	return h
}

// close closes the echo socket if it is open.
func (h *endpointHealth) close() {
	if h.echoConn != nil {
		_ = h.echoConn.Close()
		h.echoConn = nil
	}
}

// readEchoes records answers to echo requests until the socket is closed. It accepts any content.
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

// replaceSilent ends the placements of all flows at silent endpoints. Each flow is placed again
// with its next datagram, at the rate of Options.ReplacedFlows.
func (l *Listener) replaceSilent(now time.Time) {
	if l.options.Silence.After <= 0 || now.Before(l.silenceCheckAt) {
		return
	}
	l.silenceCheckAt = now.Add(silenceCheckInterval)
	elapsed := now.Sub(l.start)
	for _, h := range l.health {
		if h.boundFlows == 0 { // send no echo requests to an endpoint without flows
			h.close()
			h.echoSent = false
			continue
		}
		l.probe(h, now)
		if !h.evidence.IsSilent(elapsed, l.options.Silence) || mutation.Enabled("silence") {
			continue
		}
		replaced := l.replaceFlowsOf(h)
		h.evidence.FlowsReplaced()
		l.Counts.Silent.Add(int64(replaced))
		slog.Warn("endpoint silent, its flows are replaced",
			"component", component, "endpoint", h.endpointID, "flows", replaced)
	}
}

// probe records the latest result of an endpoint's probes or echo requests, and sends the next
// echo request when it is due.
func (l *Listener) probe(h *endpointHealth, now time.Time) {
	elapsed := now.Sub(l.start)
	if h.echoConn == nil {
		h.evidence.ProbeAnswered(elapsed, l.endpoints.IsResponsive(h.endpointID))
		return
	}
	if now.Before(h.nextEchoAt) { // the answer to the latest request may still arrive
		if h.echoAnswered {
			h.evidence.ProbeAnswered(elapsed, true)
		}
		return
	}
	if h.echoSent {
		h.evidence.ProbeAnswered(elapsed, h.echoAnswered)
	}
	h.echoSent, h.echoAnswered = true, false
	h.nextEchoAt = now.Add(echoInterval)
	_, _ = h.echoConn.Write([]byte(l.options.Echo)) // the flows' sockets report a refusal
}
