package balance

// What load is a server at? A probe asks for its load report and holds requests back for a moment; to
// the report is added what was placed there since.

import "time"

const (
	// maxLoadSamples is how many load reports the fleet's mean load is taken from, and maxLoadSample
	// what a single one counts at most, so that a few overloaded servers don't pass for the mean.
	maxLoadSamples, maxLoadSample = 16.0, 1.5
	// maxPlausibleLoad and maxPlausibleConnections are more than any true report says: a load over
	// capacity, and connections on one server. Believed, one such reading would pass as low where it is
	// cut into levels, or make connections weigh nothing.
	maxPlausibleLoad, maxPlausibleConnections = 1000.0, 1e7
	// maxLoadFactor is what a connection counts at most by its hint, as a multiple of the mean, and the
	// least is one part of as many.
	maxLoadFactor = 16.0
	// maxAddedLoad is what one connection counts at most where it is placed.
	maxAddedLoad = 0.25
	// reportDelay is how long a placed connection may be missing from a report.
	reportDelay = time.Second
	// minReportedConnections is how many connections the load of one of them is at least taken from: a
	// nearly empty server's share of noise is large.
	minReportedConnections = 4.0
)

// canProbe reports whether a draw can be answered by a probe. Where it can't, the last reports take the
// place of the answers.
func (b *Balancer) canProbe() bool {
	return b.settings.Limits.ProbesAllowed && b.settings.LoadReporting.InProbeResults
}

// awaitProbe probes s for r and holds r meanwhile. One probe answers all that wait for it.
func (b *Balancer) awaitProbe(r *request, s *server) {
	r.awaitedServer = s
	s.waitingRequests = append(s.waitingRequests, r)
	b.sendProbe(s)
	b.setRequestTimer(r, min(b.now+b.probeTimeout(r), r.decisionDeadline()))
}

// sendProbe probes s, unless a probe is out that may still be answered.
func (b *Balancer) sendProbe(s *server) {
	if s.probeInFlight && b.now-s.probedAt <= reportDelay {
		return
	}
	s.probeInFlight, s.probedAt = true, b.now
	s.probeDueAt = b.now + connectionProbeInterval
	b.emit(Probe{Server: s.ID})
}

// probeTimeout is how long r waits for a probe: a few usual round trips, while all draws fit into half
// of its latency objective. A server that needs longer is passed over: it is dead, cut off or busy.
func (b *Balancer) probeTimeout(r *request) time.Duration {
	longest := b.queueTimeout(r) / (2 * trials)
	if b.fleet.probeRTT == 0 {
		return longest
	}
	roundTrips := time.Duration((2*b.fleet.probeRTT + 4*b.fleet.probeRTTDeviation) * float64(time.Second))
	return min(max(roundTrips, 2*b.settings.Tick), longest)
}

// handleProbeResult takes a probe's result: a report of the server, and for all that wait.
func (b *Balancer) handleProbeResult(e ProbeResult) {
	s := b.servers.byID[e.Server]
	if s == nil {
		return
	}
	s.probeInFlight = false
	answered := e.Outcome == OK
	if answered {
		if e.LoadReport.Utilization == 0 && len(s.connections) > 0 {
			s.probeDueAt = b.now + takeoverProbeDelay // a report from before they were there
		}
		b.fleet.recordProbeRTT(e.Latency.Seconds())
		b.applyReport(s, e.LoadReport)
	} else if e.Outcome == ConnectFailed || e.Outcome == TimedOut {
		s.observedAttempts.add(b.now, 1)
		b.recordFault(s)
	}
	waiting := s.waitingRequests
	s.waitingRequests = nil
	for _, r := range waiting {
		r.awaitedServer = nil
		b.resumeDrawing(r, s, answered)
	}
	if answered {
		b.rebalance(s) // on a fresh report only: an old one may be long out of date
	}
}

// resumeDrawing goes on with r, which waited for the probe of s.
func (b *Balancer) resumeDrawing(r *request, s *server, answered bool) {
	switch {
	case b.now >= r.answerDeadline: // results that keep coming must not carry it past its time
		b.finish(r, DeadlineExceeded)
	case r.round.tryingAffinity:
		b.decideAffinityServer(r, s, answered)
	case !answered || !b.considerDraw(r, s):
		b.draw(r)
	}
}

// applyReport takes a server's load report.
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
	b.fleet.loadSamples = min(b.fleet.loadSamples+1, maxLoadSamples)
	b.fleet.meanLoad += (min(load, maxLoadSample) - b.fleet.meanLoad) / b.fleet.loadSamples
	if report.Inflight >= 0 && report.Inflight <= maxPlausibleConnections {
		s.loadPerConnection = load / max(report.Inflight, minReportedConnections)
	}
}

// estimatedLoad is a server's load as far as known: what it reported and what this instance has placed
// there since; -1 if it never reported.
func (b *Balancer) estimatedLoad(s *server) float64 {
	if s.reportedLoad < 0 {
		return -1
	}
	load := s.reportedLoad + s.placedLoad.value(b.now)
	if load < b.fleet.meanLoad {
		// A reading below the mean is partly chance, and the least of d draws is the most so: a full
		// fleet would always seem to have capacity.
		load = (load + b.fleet.meanLoad) / 2
	}
	return load
}

// estimateAddedLoad estimates the load that r adds to s, by r's load hint if it has one: the load of
// one connection there by its last report, or else the mean load over the connections that a server
// usually holds. The second is far off for an instance that has just started and holds hardly any.
func (b *Balancer) estimateAddedLoad(r *request, s *server) float64 {
	load := s.loadPerConnection
	if load == 0 {
		open := b.requests.openConnections
		if b.fleet.loadSamples == 0 || open == 0 {
			return 0
		}
		connections := float64(open*b.settings.Instances) / float64(max(len(b.servers.ready), 1))
		load = b.fleet.meanLoad / connections
	}
	return min(load*r.loadFactor, maxAddedLoad)
}
