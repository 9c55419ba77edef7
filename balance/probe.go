package balance

// What load is a server at? Asked by a probe that holds requests back for a moment, told
// by its report, and added to by what was placed there since.

import "time"

const (
	// samples is how many probe answers the fleet's usual load is taken from,
	// and clip what a single one counts at most, so that a few servers in
	// trouble don't pass for the usual.
	samples, clip = 16.0, 1.5
	// absurd and mostConns are what no report says that is true: a load over
	// capacity, and connections on one server. Believed, one such reading would pass
	// as low where it is cut into levels, or make connections weigh nothing.
	absurd, mostConns = 1000.0, 1e7
	// heaviest is what a connection counts at most by its hint, as a multiple of the
	// mean, and the least is one part of as many.
	heaviest = 16.0
	// settle is how long a placed connection may be missing from a report.
	settle = time.Second
	// fewConns is how many connections a report must count before the load of one of
	// them is told from it: a nearly empty server's share of noise is large.
	fewConns = 4.0
)

// probesTell tells whether a draw can be answered by a probe. Where it can't,
// what the last reports told takes the answer's place.
func (b *Balancer) probesTell() bool {
	return b.set.Limits.ProbesAllowed && b.set.LoadReporting.InProbeResults
}

// ask probes s for r and holds r meanwhile. One probe answers all who wait.
func (b *Balancer) ask(r *request, s *server) {
	r.asked = s
	s.waiting = append(s.waiting, r)
	b.probe(s)
	b.wakeAt(r, min(b.now+b.patience(r), r.until()))
}

func (b *Balancer) probe(s *server) {
	if !s.probing || b.now-s.probedAt > settle {
		s.probing, s.probedAt, s.lookAt = true, b.now, b.now+lookEvery
		b.do(Probe{Server: s.ID})
	}
}

// patience is how long r waits for a probe: a few usual round trips, while
// all draws fit into half of its aim. A server that needs longer is skipped:
// it is dead, cut off or busy.
func (b *Balancer) patience(r *request) time.Duration {
	most := b.turnWithin(r) / (2 * trials)
	if b.rtt == 0 {
		return most
	}
	few := time.Duration((2*b.rtt + 4*b.rttDev) * float64(time.Second))
	return min(max(few, 2*b.set.Tick), most)
}

// probed takes a probe's answer: news of the server, and for all who wait.
func (b *Balancer) probed(e ProbeResult) {
	s := b.servers[e.Server]
	if s == nil {
		return
	}
	s.probing = false
	if e.Outcome == OK {
		if e.LoadReport.Utilization == 0 && len(s.conns) > 0 {
			s.lookAt = b.now + lookAfter // a report from before they were there
		}
		b.learnTrip(e.Latency.Seconds())
		b.report(s, e.LoadReport)
	} else if e.Outcome == ConnectFailed || e.Outcome == TimedOut {
		s.asked.add(b.now, 1)
		b.fault(s)
	}
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		r.asked = nil
		switch {
		case b.now >= r.giveUp: // answers that keep coming must not carry it past its time
			b.finish(r)
		case r.homing:
			b.atHome(r, s, e.Outcome == OK)
		case e.Outcome != OK || !b.consider(r, s):
			b.draw(r)
		}
	}
	if e.Outcome == OK {
		b.relieve(s) // on a fresh report only: an old one may be long out of date
	}
}

// report takes a server's load report.
func (b *Balancer) report(s *server, l LoadReport) {
	load := l.Utilization
	if load < 0 {
		load = l.CPUUtilization
	}
	if load < 0 {
		return
	}
	if !(load <= absurd) { // a counter has wrapped, or it is no number: nothing is known
		s.load, s.each = -1, 0
		return
	}
	if b.slow > 0 && l.LatencyMillis/1000 > b.slow.Seconds() {
		load = max(load, 1) // it serves nobody in time, whatever its cores could do
	}
	s.load = load
	b.answers = min(b.answers+1, samples)
	b.usual += (min(load, clip) - b.usual) / b.answers
	if l.Inflight >= 0 && l.Inflight <= mostConns {
		s.each = load / max(l.Inflight, fewConns)
	}
}

// loadOf is a server's load as far as known: what it reported and what this
// instance has placed there since; -1 if it never reported.
func (b *Balancer) loadOf(s *server) float64 {
	if s.load < 0 {
		return -1
	}
	load := s.load + s.placed.left(b.now)
	if load < b.usual {
		// A reading below the usual is partly chance, and the least of d draws
		// is the most so: in a full fleet it would always seem to have room.
		load = (load + b.usual) / 2
	}
	return load
}

// weight estimates the load that r adds to s, by r's hint if it has one: the
// load of one connection there by its last report, or else the usual load over
// the connections that a server usually holds. The second is far off for an
// instance that has just started and holds hardly any.
func (b *Balancer) weight(r *request, s *server) float64 {
	w := s.each
	if w == 0 {
		if b.answers == 0 || b.open == 0 {
			return 0
		}
		w = b.usual / (float64(b.open*b.set.Instances) / float64(max(len(b.ready), 1)))
	}
	return min(w*r.heft, 0.25)
}
