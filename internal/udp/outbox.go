package udp

// notify queues a call of the dispatcher. The caller holds the listener's mutex. notify does not
// block, because the dispatcher may be waiting for the same mutex to reject or migrate a flow.
func (l *Listener) notify(call func()) {
	l.outbox = append(l.outbox, call)
	select {
	case l.outboxReady <- struct{}{}:
	default:
	}
}

// runOutbox executes the queued calls in order until stop is closed and the outbox is empty.
func (l *Listener) runOutbox(stop <-chan struct{}) {
	for stopped := false; !stopped; {
		select {
		case <-l.outboxReady:
		case <-stop:
			stopped = true
		}
		l.mu.Lock()
		calls := l.outbox
		l.outbox = nil
		l.mu.Unlock()
		for _, call := range calls {
			call()
		}
	}
}
