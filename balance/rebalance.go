package balance

// Which connections are migrated? Some of those on an overloaded server, within a budget, and all of
// those on a draining one.

import "time"

const (
	// rebalanceThreshold is the load above which a server gives up connections if it is also
	// unevenRatio times above the fleet's mean, down to that mean but not below rebalanceTarget: a
	// migration costs the client a moment and the new server a group's load, so neither noise nor a
	// load that is still served well must cause it. Above overloadThreshold it gives up connections
	// wherever the others stand: a full server serves nobody, and its clients wait better outside.
	rebalanceThreshold, rebalanceTarget = 0.82, 0.7
	unevenRatio, overloadThreshold      = 1.35, 0.97
	// rebalanceInterval is the pause between two rounds of migrations from a server, so that the
	// reports show the first before the second is decided.
	rebalanceInterval = 2 * time.Second
	// migrationsPerSecond is the share of its connections that an instance may migrate a second, so
	// that migrations never make a reconnect wave of their own.
	migrationsPerSecond = 0.1
	// takeoverProbeDelay is how long after connections were taken over their server is probed: by then
	// its report shows them. No draw of ours put them there.
	takeoverProbeDelay = 500 * time.Millisecond
	// connectionProbeInterval is how long a server that holds connections goes unprobed at most: draws
	// alone may not meet it for many seconds, and it serves nobody meanwhile if it has grown full or
	// slow.
	connectionProbeInterval = time.Second
	// drainSpread is the time over which connections leave a draining server.
	drainSpread = 1500 * time.Millisecond
)

// probeServersInUse probes the servers that hold connections and that no draw has met of late.
func (b *Balancer) probeServersInUse() {
	for _, s := range b.servers.ready {
		if len(s.connections) > 0 && b.now >= s.probeDueAt && b.canProbe() {
			b.sendProbe(s)
		}
	}
}

// rebalance migrates connections away from a server whose report shows it well above the fleet, by the
// share that would bring it back. Every instance does the same by itself, so together they migrate
// about what is needed.
func (b *Balancer) rebalance(s *server) {
	mean := b.fleet.meanLoad
	threshold := max(rebalanceThreshold, min(unevenRatio*mean, overloadThreshold))
	if len(s.connections) == 0 || b.now < s.nextRebalanceAt || s.reportedLoad < threshold {
		return
	}
	if b.isListExpired() {
		return // those who come again would be rejected
	}
	b.refillMigrationBudget()
	target := max(rebalanceTarget, min(mean, rebalanceThreshold))
	share := 1 - target/s.reportedLoad
	for _, r := range s.connections {
		if b.migration.available >= 1 && b.rng.Float64() < share {
			b.migration.available--
			b.migrate(r)
		}
	}
	b.logRebalance(s)
	s.nextRebalanceAt = b.now + b.jitter(rebalanceInterval, 0.3)
	s.probeDueAt = s.nextRebalanceAt // to see whether it was enough
}

// refillMigrationBudget adds what the time since the last round allows, up to a fifth of all
// connections.
func (b *Balancer) refillMigrationBudget() {
	m, open := &b.migration, float64(b.requests.openConnections)
	seconds := (b.now - m.refilledAt).Seconds()
	m.available = min(m.available+migrationsPerSecond*open*seconds, max(2, open/5))
	m.refilledAt = b.now
}

// scheduleMigration lets r leave its draining server within the spread.
func (b *Balancer) scheduleMigration(r *request) {
	b.setRequestTimer(r, b.now+b.jitter(drainSpread/2, 1))
}
