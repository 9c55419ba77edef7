package balance

// Load estimates: a probe asks a server for its load report, and requests wait for the answer for a short
// time. The estimate is the reported load plus the load placed on the server since.

import "time"

const (
	// maxLoadSamples is the number of load reports that the fleet's mean load averages. maxLoadSample limits
	// the load of a single report in that mean, so that a few overloaded servers do not dominate it.
	maxLoadSamples, maxLoadSample = 16.0, 1.5
	// maxPlausibleLoad (load over capacity) and maxPlausibleConnections (on one server) are above any correct
	// report. If a higher value were accepted, the load could overflow when it is converted to a level, so
	// that the server counts as low, or the load per connection could become almost 0.
	maxPlausibleLoad, maxPlausibleConnections = 1000.0, 1e7
	// maxLoadFactor limits the weight of a connection by its load hint, as a multiple of the mean hint. The
	// minimum is 1/maxLoadFactor.
	maxLoadFactor = 16.0
	// maxAddedLoad limits the load that one connection is estimated to add to its server.
	maxAddedLoad = 0.25
	// reportDelay is how long a placed connection may be missing from its server's load reports.
	reportDelay = time.Second
	// minReportedConnections is the minimum number of connections over which a reported load is divided to
	// get the load of one: noise is a large part of the load of a nearly empty server.
	minReportedConnections = 4.0
)

// canProbe reports whether drawn servers can be probed. If not, their last reports are used.
func (b *Balancer) canProbe() bool {
	return b.settings.Limits.ProbesAllowed && b.settings.LoadReporting.InProbeResults
}

// awaitProbe sends a probe to s, unless one is pending, and makes r wait for the result. One result answers
// all requests that wait for it.
func (b *Balancer) awaitProbe(r *request, s *server) {
	r.awaitedServer = s
	s.waitingRequests = append(s.waitingRequests, r)
	b.sendProbe(s)
	b.setRequestTimer(r, min(b.now+b.probeTimeout(r), r.decisionDeadline()))
}

// sendProbe probes s, unless an earlier probe may still be answered.
func (b *Balancer) sendProbe(s *server) {
	if s.probeInFlight && b.now-s.probedAt <= reportDelay {
		return
	}
	s.probeInFlight, s.probedAt = true, b.now
	s.probeDueAt = b.now + connectionProbeInterval
	b.emit(Probe{Server: s.ID})
}

// probeTimeout is how long r waits for a probe: 2 average round-trip times plus 4 mean deviations, but at
// least two ticks, and at most so long that the timeouts of all draws fit into half of r's latency objective.
// A server that does not answer in time is down, unreachable or busy, and is skipped.
func (b *Balancer) probeTimeout(r *request) time.Duration {
	longest := b.queueTimeout(r) / (2 * trials)
	if b.fleet.probeRTT == 0 {
		return longest
	}
	roundTrips := time.Duration((2*b.fleet.probeRTT + 4*b.fleet.probeRTTDeviation) * float64(time.Second))
	return min(max(roundTrips, 2*b.settings.Tick), longest)
}

// handleProbeResult applies the load report of a probe and resumes the requests that wait for the probe.
func (b *Balancer) handleProbeResult(e ProbeResult) {
	s := b.servers.byID[e.Server]
	if s == nil {
		return
	}
	s.probeInFlight = false
	answered := e.Outcome == OK
	if answered {
		if e.LoadReport.Utilization == 0 && len(s.connections) > 0 {
			s.probeDueAt = b.now + takeoverProbeDelay // the report predates the connections
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
		b.rebalance(s) // needs a fresh report: an old one may be long out of date
	}
}

// resumeDrawing continues the draws of r, which waited for a probe of s.
func (b *Balancer) resumeDrawing(r *request, s *server, answered bool) {
	switch {
	case b.now >= r.answerDeadline: // probe results that keep arriving must not extend the deadline
		b.finish(r, DeadlineExceeded)
	case r.round.tryingAffinity:
		b.evaluateAffinityServer(r, s, answered)
	case !answered || !b.evaluateDraw(r, s):
		b.draw(r)
	}
}

// applyReport applies a server's load report.
func (b *Balancer) applyReport(s *server, report LoadReport) {
	load := report.Utilization
	if load < 0 {
		load = report.CPUUtilization
	}
	if load < 0 {
		return
	}
	if !(load <= maxPlausibleLoad) { // the counter has wrapped or the value is NaN, so the load is unknown
		s.reportedLoad, s.loadPerConnection = -1, 0
		return
	}
	if b.serviceTimeLimit > 0 && report.LatencyMillis/1000 > b.serviceTimeLimit.Seconds() {
		load = max(load, 1) // it serves no message in time, however much CPU is idle
	}
	s.reportedLoad = load
	b.fleet.loadSamples = min(b.fleet.loadSamples+1, maxLoadSamples)
	b.fleet.meanLoad += (min(load, maxLoadSample) - b.fleet.meanLoad) / b.fleet.loadSamples
	if report.Inflight >= 0 && report.Inflight <= maxPlausibleConnections {
		s.loadPerConnection = load / max(report.Inflight, minReportedConnections)
	}
}

// estimatedLoad is a server's estimated load: the reported load plus the load that this instance has placed
// there and that reports may not include yet; -1 if the server has not reported.
func (b *Balancer) estimatedLoad(s *server) float64 {
	if s.reportedLoad < 0 {
		return -1
	}
	load := s.reportedLoad + s.placedLoad.value(b.now)
	if load < b.fleet.meanLoad {
		// A reading below the mean is partly chance, and the least of d readings the most so. Without this
		// correction, a full fleet would always seem to have capacity.
		load = (load + b.fleet.meanLoad) / 2
	}
	return load
}

// estimateAddedLoad estimates the load that r adds to s: the load of one connection there, multiplied by r's
// load factor. The load of one connection comes from the last report of s. Without one, it is the mean load
// over the mean number of connections per server, extrapolated from this instance to all; that is far off if
// this instance has just started and holds few connections.
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
