package udp

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"coralrelay/balance"
	"coralrelay/internal/flowtable"
	"coralrelay/internal/mutation"
)

// readRetryInterval is the pause after a failed read of clients' datagrams.
const readRetryInterval = time.Millisecond

// newBatch returns batchSize messages with read buffers.
func newBatch(bufferSize int) []ipv4.Message {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, bufferSize)}
	}
	return messages
}

// readDatagrams reads clients' datagrams in batches until ctx ends.
func (l *Listener) readDatagrams(ctx context.Context) {
	messages := newBatch(maxDatagramSize)
	for {
		n, err := l.packets.ReadBatch(messages, 0)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			l.warnings.Warn("cannot read datagrams", "component", component, "error", err)
			time.Sleep(readRetryInterval)
			continue
		}
		l.handleBatch(messages[:n], time.Now())
	}
}

func (l *Listener) handleBatch(messages []ipv4.Message, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.batchTime = now.Sub(l.start)
	for i := range messages {
		message := &messages[i]
		if source, ok := message.Addr.(*net.UDPAddr); ok {
			l.handleDatagram(source.AddrPort(), message.Buffers[0][:message.N], now)
		}
	}
	l.flush()
}

// handleDatagram sends a client's datagram to the endpoint of its flow, or queues it until the
// flow is placed. The caller holds the mutex.
func (l *Listener) handleDatagram(source netip.AddrPort, datagram []byte, now time.Time) {
	l.Counts.In.Add(1)
	key := flowtable.Key{Addr: source.Addr().As16(), Port: source.Port()}
	ref, known := l.table.Lookup(key)
	if known {
		l.table.Touch(ref, now.Sub(l.start))
	} else {
		var admitted bool
		if ref, admitted = l.openFlow(key, source, now); !admitted {
			return
		}
	}
	flow := &l.bindings[ref.Index]
	if current := flow.placement; current != nil && current.socket != nil {
		if l.canSend(current, now) {
			l.send(flow, current, datagram)
			return
		}
		l.replacePlacement(current, balance.Cancelled) // the endpoint drains or was removed
	}
	if flow.placement == nil && !flow.awaitsPlacement {
		flow.awaitsPlacement = true
		l.replacedFlows.Add(ref, l.needsPlacement)
		l.placeQueued(now)
	}
	l.enqueue(flow, datagram)
}

// openFlow adds a flow to the table and queues it for a placement. If the flow is not admitted,
// openFlow counts its datagram as dropped and returns false.
func (l *Listener) openFlow(
	key flowtable.Key, client netip.AddrPort, now time.Time,
) (ref flowtable.Ref, ok bool) {
	elapsed := now.Sub(l.start)
	if !l.sources.Allow(key, elapsed) && !mutation.Enabled("source") {
		l.Counts.Limited.Add(1)
		return flowtable.Ref{}, false
	}
	ref, verdict := l.table.Admit(key, elapsed, l.evictFlow)
	if verdict != flowtable.Admitted {
		l.Counts.Full.Add(1)
		return flowtable.Ref{}, false
	}
	l.Counts.Opened.Add(1)
	l.bindings[ref.Index] = binding{client: client, awaitsPlacement: true}
	l.newFlows.Add(ref, l.needsPlacement)
	l.placeQueued(now)
	return ref, true
}

func (l *Listener) evictFlow(ref flowtable.Ref) {
	l.Counts.Evicted.Add(1)
	l.releaseFlow(ref)
}

// enqueue adds a copy of a datagram to the flow's queue.
func (l *Listener) enqueue(flow *binding, datagram []byte) {
	queued := append([]byte(nil), datagram...)
	flow.queue.Put(queued, l.options.FlowQueue, &l.queueBudget, func([]byte) { l.Counts.Queue.Add(1) })
}

// releaseFlow drops the queued datagrams and ends the placement of a flow that expires or is
// evicted.
func (l *Listener) releaseFlow(ref flowtable.Ref) {
	flow := &l.bindings[ref.Index]
	flow.queue.Drain(&l.queueBudget, func([]byte) { l.Counts.Gone.Add(1) })
	if flow.placement != nil {
		l.endPlacement(flow.placement, balance.OK)
	}
}
