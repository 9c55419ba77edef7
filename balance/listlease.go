package balance

// The lease on the server list. Once it has expired, no attempt is sent: requests are answered at once, and
// established connections stay open.

// handleListLease sets the time until which the list may be used.
func (b *Balancer) handleListLease(e ListLease) {
	s := &b.subscription
	s.leaseEndsAt = e.ExpiresAt
	if b.isListExpired() {
		b.handleListExpiry()
		return
	}
	s.expiryHandled = false
	if s.leaseEndsAt > 0 {
		b.emit(SetTimer{Delay: s.leaseEndsAt - b.now, Token: maintenanceToken})
	}
}

// isListExpired reports whether the lease on the list has expired.
func (b *Balancer) isListExpired() bool {
	return b.subscription.leaseEndsAt > 0 && b.now >= b.subscription.leaseEndsAt
}

// handleListExpiry answers the requests that wait for a server, once per expiry of the list lease.
func (b *Balancer) handleListExpiry() {
	if b.isListExpired() && !b.subscription.expiryHandled {
		b.subscription.expiryHandled = true
		b.finishUnplaceable()
	}
}
