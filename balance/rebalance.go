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
	relieveOver, relieveTo, uneven, overload = 0.82, 0.7, 1.35, 0.97
	// relieveEvery is the pause between two rounds of moves from a server, so
	// that the reports show the first before the second is decided.
	relieveEvery = 2 * time.Second
	// movesPerSecond is the share of its connections that an instance may move
	// a second, so that moves never make a reconnect wave of their own.
	movesPerSecond = 0.1
	// lookAfter is how long after connections were taken over their server is
	// looked at: by then its report shows them. No draw of ours put them there.
	// lookEvery is how long a server that holds connections goes unprobed at most:
	// draws alone may not meet it for many seconds, and it serves nobody meanwhile
	// if it has grown full or slow.
	lookAfter, lookEvery = 500 * time.Millisecond, time.Second
	// drainSpread is the time over which connections leave a draining server.
	drainSpread = 1500 * time.Millisecond
)

// look probes the servers that hold connections and that draws have not met of late.
func (b *Balancer) look() {
	for _, s := range b.ready {
		if len(s.conns) > 0 && b.now >= s.lookAt && b.probesTell() {
			b.probe(s)
		}
	}
}

// relieve moves connections away from a server whose report shows it well
// above the fleet, by the share that would bring it back. Every instance does
// the same by itself, so together they move about what is needed.
func (b *Balancer) relieve(s *server) {
	over := max(relieveOver, min(uneven*b.usual, overload))
	if len(s.conns) == 0 || b.now < s.relievedAt || s.load < over {
		return
	}
	to := max(relieveTo, min(b.usual, relieveOver))
	open := float64(b.open)
	b.moves = min(b.moves+movesPerSecond*open*(b.now-b.movesAt).Seconds(), max(2, open/5))
	b.movesAt = b.now
	part := 1 - to/s.load
	for _, r := range s.conns {
		if b.moves >= 1 && b.rng.Float64() < part {
			b.moves--
			b.move(r)
		}
	}
	b.note("moves: %s is at load %.2f, usual %.2f, of %d connections some move",
		s.ID, s.load, b.usual, len(s.conns))
	s.relievedAt = b.now + b.jitter(relieveEvery, 0.3)
	s.lookAt = s.relievedAt // to see whether it was enough
}

func (b *Balancer) move(r *request) {
	if !r.moving {
		r.moving = true
		b.do(Migrate{ID: r.ID})
	}
}

// leave lets r leave its draining server within the spread.
func (b *Balancer) leave(r *request) {
	b.wakeAt(r, b.now+b.jitter(drainSpread/2, 1))
}
