package balance

// What load is a server at? Asked by a probe that holds requests back for a moment, told
// by its report, and added to by what was placed there since.

import "time"

const (
	// samples is how many probe answers the fleet's usual load is taken from,
	// and clip what a single one counts at most, so that a few servers in
	// trouble don't pass for the usual.
	maxLoadSamples, maxLoadSample = 16.0, 1.5
	// absurd and mostConns are what no report says that is true: a load over
	// capacity, and connections on one server. Believed, one such reading would pass
	// as low where it is cut into levels, or make connections weigh nothing.
	maxPlausibleLoad, maxPlausibleConnections = 1000.0, 1e7
	// heaviest is what a connection counts at most by its hint, as a multiple of the
	// mean, and the least is one part of as many.
	maxLoadFactor = 16.0
	// settle is how long a placed connection may be missing from a report.
	reportDelay = time.Second
	// fewConns is how many connections a report must count before the load of one of
	// them is told from it: a nearly empty server's share of noise is large.
	minReportedConnections = 4.0
)

// probesTell tells whether a draw can be answered by a probe. Where it can't,
// what the last reports told takes the answer's place.
func (b *Balancer) canProbe() bool {
	return b.settings.Limits.ProbesAllowed && b.settings.LoadReporting.InProbeResults
}

// ask probes s for r and holds r meanwhile. One probe answers all who wait.
func (b *Balancer) awaitProbe(r *request, s *server) {
	r.awaitedServer = s
	s.waitingRequests = append(s.waitingRequests, r)
	b.sendProbe(s)
	b.setRequestTimer(r, min(b.now+b.probeTimeout(r), r.decisionDeadline()))
}

func (b *Balancer) sendProbe(s *server) {
	if !s.probeInFlight || b.now-s.probedAt > reportDelay {
		s.probeInFlight, s.probedAt, s.probeDueAt = true, b.now, b.now+connectionProbeInterval
		b.emit(Probe{Server: s.ID})
	}
}

// patience is how long r waits for a probe: a few usual round trips, while
// all draws fit into half of its aim. A server that needs longer is skipped:
// it is dead, cut off or busy.
func (b *Balancer) probeTimeout(r *request) time.Duration {
	longest := b.queueTimeout(r) / (2 * trials)
	if b.probeRTT == 0 {
		return longest
	}
	roundTrips := time.Duration((2*b.probeRTT + 4*b.probeRTTDeviation) * float64(time.Second))
	return min(max(roundTrips, 2*b.settings.Tick), longest)
}

// probed takes a probe's answer: news of the server, and for all who wait.
func (b *Balancer) handleProbeResult(e ProbeResult) {
	s := b.servers[e.Server]
	if s == nil {
		return
	}
	s.probeInFlight = false
	if e.Outcome == OK {
		if e.LoadReport.Utilization == 0 && len(s.connections) > 0 {
			s.probeDueAt = b.now + takeoverProbeDelay // a report from before they were there
		}
		b.recordProbeRTT(e.Latency.Seconds())
		b.applyReport(s, e.LoadReport)
	} else if e.Outcome == ConnectFailed || e.Outcome == TimedOut {
		s.observedAttempts.add(b.now, 1)
		b.recordFault(s)
	}
	waiting := s.waitingRequests
	s.waitingRequests = nil
	for _, r := range waiting {
		r.awaitedServer = nil
		switch {
		case b.now >= r.answerDeadline: // answers that keep coming must not carry it past its time
			b.finish(r)
		case r.tryingAffinity:
			b.decideAffinityServer(r, s, e.Outcome == OK)
		case e.Outcome != OK || !b.considerDraw(r, s):
			b.draw(r)
		}
	}
	if e.Outcome == OK {
		b.rebalance(s) // on a fresh report only: an old one may be long out of date
	}
}

// report takes a server's load report.
func (b *Balancer) applyReport(s *server, report LoadReport) {
	load := report.Utilization
	if load < 0 {
		load = report.CPUUtilization
	}
	if load < 0 {
		return
	}
	if !(load <= maxPlausibleLoad) { // a counter has wrapped, or it is no number: nothing is known
		s.reportedLoad, s.loadPerConnection = -1, 0
		return
	}
	if b.serviceTimeLimit > 0 && report.LatencyMillis/1000 > b.serviceTimeLimit.Seconds() {
		load = max(load, 1) // it serves nobody in time, whatever its cores could do
	}
	s.reportedLoad = load
	b.loadSamples = min(b.loadSamples+1, maxLoadSamples)
	b.meanLoad += (min(load, maxLoadSample) - b.meanLoad) / b.loadSamples
	if report.Inflight >= 0 && report.Inflight <= maxPlausibleConnections {
		s.loadPerConnection = load / max(report.Inflight, minReportedConnections)
	}
}

// loadOf is a server's load as far as known: what it reported and what this
// instance has placed there since; -1 if it never reported.
func (b *Balancer) estimatedLoad(s *server) float64 {
	if s.reportedLoad < 0 {
		return -1
	}
	load := s.reportedLoad + s.placedLoad.value(b.now)
	if load < b.meanLoad {
		// A reading below the usual is partly chance, and the least of d draws
		// is the most so: in a full fleet it would always seem to have room.
		load = (load + b.meanLoad) / 2
	}
	return load
}

// weight estimates the load that r adds to s, by r's hint if it has one: the
// load of one connection there by its last report, or else the usual load over
// the connections that a server usually holds. The second is far off for an
// instance that has just started and holds hardly any.
func (b *Balancer) estimateAddedLoad(r *request, s *server) float64 {
	load := s.loadPerConnection
	if load == 0 {
		if b.loadSamples == 0 || b.openConnections == 0 {
			return 0
		}
		load = b.meanLoad / (float64(b.openConnections*b.settings.Instances) / float64(max(len(b.ready), 1)))
	}
	return min(load*r.loadFactor, 0.25)
}
