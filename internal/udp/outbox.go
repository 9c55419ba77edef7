package udp

// notify queues a call of the dispatcher. It is called under the listener's lock and does not
// wait: the dispatcher may itself be waiting for that lock, to reject or migrate a flow.
func (l *Listener) notify(call func()) {
	l.outbox = append(l.outbox, call)
	select {
	case l.outboxReady <- struct{}{}:
	default:
	}
}

// runOutbox makes the queued calls in order, until stop is closed and the outbox is empty.
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
