package balance

// Which connections go elsewhere? Some of those on a server in trouble, within a budget,
// and all of those on one that drains.

import "time"

const (
	// relieveOver is the load above which a server sheds connections if it is
	// also uneven times above the fleet's usual, down to that but not below
	// relieveTo: what moves costs its client a moment and its new server a group's
	// load, so neither noise nor a load that is still served well must do it. Above
	// overload it sheds wherever the others stand: a full server serves nobody, and
	// its clients wait better outside.
	rebalanceThreshold, rebalanceTarget, unevenRatio, overloadThreshold = 0.82, 0.7, 1.35, 0.97
	// relieveEvery is the pause between two rounds of moves from a server, so
	// that the reports show the first before the second is decided.
	rebalanceInterval = 2 * time.Second
	// movesPerSecond is the share of its connections that an instance may move
	// a second, so that moves never make a reconnect wave of their own.
	migrationsPerSecond = 0.1
	// lookAfter is how long after connections were taken over their server is
	// looked at: by then its report shows them. No draw of ours put them there.
	// lookEvery is how long a server that holds connections goes unprobed at most:
	// draws alone may not meet it for many seconds, and it serves nobody meanwhile
	// if it has grown full or slow.
	takeoverProbeDelay, connectionProbeInterval = 500 * time.Millisecond, time.Second
	// drainSpread is the time over which connections leave a draining server.
	drainSpread = 1500 * time.Millisecond
)

// look probes the servers that hold connections and that draws have not met of late.
func (b *Balancer) probeServersInUse() {
	for _, s := range b.ready {
		if len(s.connections) > 0 && b.now >= s.probeDueAt && b.canProbe() {
			b.sendProbe(s)
		}
	}
}

// relieve moves connections away from a server whose report shows it well
// above the fleet, by the share that would bring it back. Every instance does
// the same by itself, so together they move about what is needed.
func (b *Balancer) rebalance(s *server) {
	threshold := max(rebalanceThreshold, min(unevenRatio*b.meanLoad, overloadThreshold))
	if len(s.connections) == 0 || b.now < s.nextRebalanceAt || s.reportedLoad < threshold {
		return
	}
	target := max(rebalanceTarget, min(b.meanLoad, rebalanceThreshold))
	open := float64(b.openConnections)
	b.migrationBudget = min(b.migrationBudget+migrationsPerSecond*open*(b.now-b.migrationRefilledAt).Seconds(), max(2, open/5))
	b.migrationRefilledAt = b.now
	share := 1 - target/s.reportedLoad
	for _, r := range s.connections {
		if b.migrationBudget >= 1 && b.rng.Float64() < share {
			b.migrationBudget--
			b.migrate(r)
		}
	}
	b.logThrottled("moves: %s is at load %.2f, usual %.2f, of %d connections some move",
		s.ID, s.reportedLoad, b.meanLoad, len(s.connections))
	s.nextRebalanceAt = b.now + b.jitter(rebalanceInterval, 0.3)
	s.probeDueAt = s.nextRebalanceAt // to see whether it was enough
}

func (b *Balancer) migrate(r *request) {
	if !r.migrating {
		r.migrating = true
		b.emit(Migrate{ID: r.ID})
	}
}

// leave lets r leave its draining server within the spread.
func (b *Balancer) scheduleMigration(r *request) {
	b.setRequestTimer(r, b.now+b.jitter(drainSpread/2, 1))
}
