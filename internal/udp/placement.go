package udp

import (
	"strconv"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/flowtable"
)

// idBase is the base that placements' IDs are written in.
const idBase = 36

// placement is one placement of a flow, which the dispatcher decides on. A flow has another
// one each time that it is placed again.
type placement struct {
	dispatch.Request
	listener *Listener
	ref      flowtable.Ref

	// Under the listener's lock:
	endpointID string
	socket     *upstreamSocket // nil unless it is established
	ended      bool
}

// needsPlacement reports whether a flow that waits for a placement still does.
func (l *Listener) needsPlacement(ref flowtable.Ref) bool {
	return l.table.IsValid(ref) && l.bindings[ref.Index].placement == nil
}

// placeQueued requests placements for the flows whose turn it is.
func (l *Listener) placeQueued(now time.Time) {
	for _, pacer := range []*flowtable.Pacer{&l.replacedFlows, &l.newFlows} {
		for {
			ref, ok, _ := pacer.Next(now.Sub(l.start), l.needsPlacement)
			if !ok {
				break
			}
			l.bindings[ref.Index].awaitsPlacement = false
			l.requestPlacement(ref, now)
		}
	}
}

// requestPlacement has the dispatcher place a flow.
func (l *Listener) requestPlacement(ref flowtable.Ref, now time.Time) {
	flow := &l.bindings[ref.Index]
	l.lastID++
	requested := &placement{
		listener: l,
		ref:      ref,
		Request: dispatch.Request{
			ID:       l.idPrefix + strconv.FormatUint(l.lastID, idBase),
			Class:    l.options.Class,
			Key:      flow.client.Addr().String(),
			Deadline: now.Add(l.options.Deadline),
		},
	}
	flow.placement = requested
	l.notify(func() { l.dispatcher.Submit(requested, l) })
}

// replacePlacement ends a flow's placement. The flow is placed again when it next sends and
// its turn has come: of the flows of a lost endpoint, most may have nothing more to send.
func (l *Listener) replacePlacement(replaced *placement, outcome balance.Outcome) {
	l.endPlacement(replaced, outcome)
	l.Counts.Replaced.Add(1)
}

// replaceFlowsOf replaces all placements at an endpoint and returns how many there were.
func (l *Listener) replaceFlowsOf(health *endpointHealth) (replaced int) {
	for i := range l.bindings {
		current := l.bindings[i].placement
		if current != nil && current.socket != nil && current.socket.health == health {
			l.replacePlacement(current, balance.Reset)
			replaced++
		}
	}
	return replaced
}

// endPlacement ends a placement, whether it is requested or established, and tells the
// dispatcher.
func (l *Listener) endPlacement(ending *placement, outcome balance.Outcome) {
	if ending.ended {
		return
	}
	ending.ended = true
	flow := &l.bindings[ending.ref.Index]
	if flow.placement == ending {
		flow.placement = nil
	}
	socket := ending.socket
	if socket == nil {
		l.notify(func() { l.dispatcher.ClientGone(ending) })
		return
	}
	ending.socket = nil
	l.boundFlows--
	l.releaseSocket(socket)
	l.notify(func() { l.dispatcher.PlacementEnded(ending, outcome) })
}

// StartAttempt gives a flow its upstream socket. Nothing is sent to find out whether the
// endpoint is up: an attempt counts as established as soon as there is a socket, and a refusal
// or silence ends the placement later. Once the listener is closed, nobody waits for goroutines any more:
// the attempt is reported as not sent.
func (l *Listener) StartAttempt(requested dispatch.Placement, attempt int, endpointID string, _ time.Time) {
	starting := requested.(*placement)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		go l.dispatcher.AttemptEnded(starting, attempt, endpointID, balance.NotSent, 0, balance.EmptyLoadReport)
		return
	}
	l.wg.Go(func() {
		startedAt := time.Now()
		outcome := l.establish(starting, endpointID, startedAt)
		if outcome == balance.OK {
			l.dispatcher.AttemptEstablished(starting, attempt, endpointID, 0) // no latency was measured
			return
		}
		latency := time.Since(startedAt)
		l.dispatcher.AttemptEnded(starting, attempt, endpointID, outcome, latency, balance.EmptyLoadReport)
	})
}

// establish binds a flow to a socket and sends what waited. It returns NotSent if the placement has ended or
// nothing new may be sent to the endpoint, and ConnectFailed if there is no socket.
func (l *Listener) establish(starting *placement, endpointID string, now time.Time) balance.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	if starting.ended || l.closed || !l.endpoints.MayBegin(endpointID, now) {
		return balance.NotSent
	}
	socket, opened, err := l.acquireSocket(endpointID)
	if err != nil {
		l.warnings.Warn("cannot open upstream socket", "component", component, "endpoint", endpointID, "error", err)
		return balance.ConnectFailed
	}
	starting.socket, starting.endpointID = socket, endpointID
	l.boundFlows++
	l.batchTime = now.Sub(l.start)
	l.sendQueued(starting)
	l.flush()
	if opened && socket.boundFlows > 0 { // else a write was refused and the placement has ended again
		l.startReplies(starting, socket)
	}
	return balance.OK
}

func (l *Listener) sendQueued(established *placement) {
	flow := &l.bindings[established.ref.Index]
	flow.queue.Drain(&l.queueBudget, func(datagram []byte) {
		if established.socket == nil { // an earlier write was refused
			l.Counts.Unsent.Add(1)
			return
		}
		l.send(flow, established, datagram)
	})
}

// PlacementRequest is what the dispatcher decides on.
func (p *placement) PlacementRequest() *dispatch.Request { return &p.Request }

// Reject is Fail: there is no answer that tells a client of datagrams when to try again.
func (p *placement) Reject(time.Duration) bool { return p.Fail() }

// Fail forgets the flow and drops the datagrams that wait. Its next datagram opens a new flow. It
// returns false if the placement has ended or is established.
func (p *placement) Fail() bool {
	l := p.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.ended || p.socket != nil {
		return false
	}
	p.ended = true
	flow := &l.bindings[p.ref.Index]
	if flow.placement == p {
		flow.placement = nil
		flow.queue.Drain(&l.queueBudget, func([]byte) { l.Counts.Refused.Add(1) })
		l.table.Remove(p.ref)
	}
	return true
}

// Migrate has an established flow placed again.
func (p *placement) Migrate() {
	p.listener.mu.Lock()
	defer p.listener.mu.Unlock()
	if p.socket != nil {
		p.listener.replacePlacement(p, balance.Cancelled)
	}
}
