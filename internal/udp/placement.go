package udp

import (
	"strconv"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/flowtable"
)

// idBase is the numeral base of the numbers in placement IDs.
const idBase = 36

// placement is one placement of a flow, decided by the dispatcher. Each time a flow is placed
// again, it gets a new placement.
type placement struct {
	dispatch.Request
	listener *Listener
	ref      flowtable.Ref

	// Protected by the listener's mutex:
	endpointID string
	socket     *upstreamSocket // nil unless the placement is established
	ended      bool
}

// needsPlacement reports whether a queued flow is still in the table and has no placement.
func (l *Listener) needsPlacement(ref flowtable.Ref) bool {
	return l.table.IsValid(ref) && l.bindings[ref.Index].placement == nil
}

// placeQueued requests placements for queued flows as far as the pacers allow.
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

// requestPlacement submits a new placement of a flow to the dispatcher.
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

// replacePlacement ends a flow's placement. The flow is queued to be placed again when its client
// sends the next datagram, because most flows of a lost endpoint may never send again.
func (l *Listener) replacePlacement(replaced *placement, outcome balance.Outcome) {
	l.endPlacement(replaced, outcome)
	l.Counts.Replaced.Add(1)
}

// replaceFlowsOf replaces all placements at an endpoint and returns their number.
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

// endPlacement ends a requested or established placement and notifies the dispatcher.
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

// StartAttempt binds a flow to an upstream socket. It sends nothing to check the endpoint: an
// attempt is established as soon as the flow has a socket, and a refusal or silence ends the
// placement later. After the listener has closed, StartAttempt reports the attempt as not sent,
// because Serve no longer waits for new goroutines.
func (l *Listener) StartAttempt(requested dispatch.Placement, attempt int, endpointID string, _ time.Time) {
	starting := requested.(*placement)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		go l.dispatcher.AttemptEnded(
			starting, attempt, endpointID, balance.NotSent, 0, balance.EmptyLoadReport)
		return
	}
	l.wg.Go(func() {
		startedAt := time.Now()
		outcome := l.establish(starting, endpointID, startedAt)
		if outcome == balance.OK {
			l.dispatcher.AttemptEstablished(starting, attempt, endpointID, 0) // the latency is not measured
			return
		}
		latency := time.Since(startedAt)
		l.dispatcher.AttemptEnded(starting, attempt, endpointID, outcome, latency, balance.EmptyLoadReport)
	})
}

// establish binds a flow to a socket and sends its queued datagrams. It returns NotSent if the
// placement has ended, the listener has closed or no new flow may be bound to the endpoint, and
// ConnectFailed if no socket can be opened.
func (l *Listener) establish(starting *placement, endpointID string, now time.Time) balance.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	if starting.ended || l.closed || !l.endpoints.CanBindFlow(endpointID, now) {
		return balance.NotSent
	}
	socket, opened, err := l.acquireSocket(endpointID)
	if err != nil {
		l.warnings.Warn("cannot open upstream socket",
			"component", component, "endpoint", endpointID, "error", err)
		return balance.ConnectFailed
	}
	starting.socket, starting.endpointID = socket, endpointID
	l.boundFlows++
	l.batchTime = now.Sub(l.start)
	l.sendQueued(starting)
	l.flush()
	if opened && socket.boundFlows > 0 { // otherwise a refused write has already ended the placement
		l.startReplies(starting, socket)
	}
	return balance.OK
}

func (l *Listener) sendQueued(established *placement) {
	flow := &l.bindings[established.ref.Index]
	flow.queue.Drain(&l.queueBudget, func(datagram []byte) {
		if established.socket == nil { // a refused write has ended the placement
			l.Counts.Unsent.Add(1)
			return
		}
		l.send(flow, established, datagram)
	})
}

// PlacementRequest returns the request that the dispatcher decides on.
func (p *placement) PlacementRequest() *dispatch.Request { return &p.Request }

// Reject calls Fail, because a client of datagrams can't be told when to retry.
func (p *placement) Reject(time.Duration) bool { return p.Fail() }

// Fail removes the flow and drops its queued datagrams. The client's next datagram opens a new
// flow. Fail returns false if the placement has ended or is established.
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

// Migrate replaces the placement if it is established, so that the flow is placed again.
func (p *placement) Migrate() {
	p.listener.mu.Lock()
	defer p.listener.mu.Unlock()
	if p.socket != nil {
		p.listener.replacePlacement(p, balance.Cancelled)
	}
}
