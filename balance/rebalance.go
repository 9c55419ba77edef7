package balance

// Rebalancing: which connections are migrated, namely some of those on an overloaded server, within a budget,
// and all of those on a draining server.

import "time"

const (
	// rebalanceThreshold is the load above which a server migrates connections, if its load is also above
	// unevenRatio times the fleet's mean. It does so down to that mean, but not below rebalanceTarget. A
	// migration interrupts the client and may cost the new server a group's load, so neither noise nor a load
	// that is still served well may cause one. Above overloadThreshold a server migrates connections whatever
	// the load of the others: a full server serves none of its clients, and they are better off waiting for
	// admission.
	rebalanceThreshold, rebalanceTarget = 0.82, 0.7
	unevenRatio, overloadThreshold      = 1.35, 0.97
	// rebalanceInterval is the time, before jitter, between two rounds of migrations from a server, so that
	// load reports show the effect of the first round before the second is decided.
	rebalanceInterval = 2 * time.Second
	// migrationsPerSecond is the share of its connections that an instance may migrate per second, so that
	// migrations do not cause a reconnect wave.
	migrationsPerSecond = 0.1
	// takeoverProbeDelay is the delay after which a server is probed when connections to it were taken over:
	// by then its report includes them. They were not placed by draws, so no probe preceded them.
	takeoverProbeDelay = 500 * time.Millisecond
	// connectionProbeInterval is the time after its latest probe at which a server that holds connections is
	// probed without a draw. Draws alone may miss a server for many seconds, during which it serves none of
	// its clients if it has become full or slow.
	connectionProbeInterval = time.Second
	// drainSpread is the time over which the migrations from a draining server are spread.
	drainSpread = 1500 * time.Millisecond
)

// probeServersInUse probes the servers that hold connections and have not been probed recently.
func (b *Balancer) probeServersInUse() {
	for _, s := range b.servers.ready {
		if len(s.connections) > 0 && b.now >= s.probeDueAt && b.canProbe() {
			b.sendProbe(s)
		}
	}
}

// rebalance migrates connections away from a server whose report shows a load well above the fleet's: the
// share 1 - target/load, which would bring it down to the target. Every instance does so independently, so
// that together they migrate about the number needed.
func (b *Balancer) rebalance(s *server) {
	mean := b.fleet.meanLoad
	threshold := max(rebalanceThreshold, min(unevenRatio*mean, overloadThreshold))
	if len(s.connections) == 0 || b.now < s.nextRebalanceAt || s.reportedLoad < threshold {
		return
	}
	if b.isListExpired() {
		return // reconnecting clients would be rejected
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
	s.probeDueAt = s.nextRebalanceAt // to check whether the migrations were enough
}

// refillMigrationBudget adds the migrations earned since the last round. The budget is at most a fifth of all
// open connections, or 2 if that is more.
func (b *Balancer) refillMigrationBudget() {
	m, open := &b.migration, float64(b.requests.openConnections)
	seconds := (b.now - m.refilledAt).Seconds()
	m.available = min(m.available+migrationsPerSecond*open*seconds, max(2, open/5))
	m.refilledAt = b.now
}

// scheduleMigration migrates r off its draining server at a random time within drainSpread.
func (b *Balancer) scheduleMigration(r *request) {
	b.setRequestTimer(r, b.now+b.jitter(drainSpread/2, 1))
}
