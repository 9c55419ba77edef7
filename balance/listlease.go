package balance

// May the server list be relied on? Whoever follows it says until when; after that nothing is sent by it:
// requests are answered at once, and what is established goes on.

// handleListLease takes until when the list may be relied on.
func (b *Balancer) handleListLease(e ListLease) {
	s := &b.subscription
	s.leaseEndsAt = e.ExpiresAt
	if b.isListExpired() {
		b.endListLease()
		return
	}
	s.leaseEnded = false
	if s.leaseEndsAt > 0 {
		b.emit(SetTimer{Delay: s.leaseEndsAt - b.now, Token: maintenanceToken})
	}
}

// isListExpired reports whether the list may not be relied on any more.
func (b *Balancer) isListExpired() bool {
	return b.subscription.leaseEndsAt > 0 && b.now >= b.subscription.leaseEndsAt
}

// endListLease answers what waits for a server, once the list may not be relied on any more.
func (b *Balancer) endListLease() {
	if b.isListExpired() && !b.subscription.leaseEnded {
		b.subscription.leaseEnded = true
		b.finishUnplaceable()
	}
}
