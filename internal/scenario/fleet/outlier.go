package fleet

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

const (
	// ejectionTimeout is the time within which a server that answers errors must be ejected:
	// the weight of earlier successes decays (2 s), half of the nodes that use the server must
	// observe failures, and the server's share is measured over one second.
	ejectionTimeout = 5 * time.Second
	// maxEjectionWait is how long the phase waits for the ejection.
	maxEjectionWait = 8 * time.Second
	// maxEjectedShare is the fraction of its fair share below which a server counts as ejected.
	maxEjectedShare = 0.35
	// minRecoveredShare is the minimum fraction of its fair share that a recovered server must receive.
	minRecoveredShare = 0.5
	// maxReportAge is the longest time for which an outlier report has an effect.
	maxReportAge = 7 * time.Second
	// probeWindow and probeWindowCount are the length and number of the intervals in which the load
	// probes of an unresponsive server are counted.
	probeWindow      = 500 * time.Millisecond
	probeWindowCount = 6
)

// failingServers makes one server answer every first line with an error while its health checks succeed,
// and then makes another server unresponsive.
func (r *run) failingServers(ctx context.Context, _ *mrand.Rand) error {
	servers := r.AllServers()
	r.serverAnswersErrors(ctx, servers[3])
	r.serverAnswersNothing(ctx, servers[4])
	return nil
}

// serverAnswersErrors checks that a server that answers errors is ejected in time, and that it receives
// requests again after it has recovered.
func (r *run) serverAnswersErrors(ctx context.Context, server *testbed.Server) {
	server.SetFault(fake.AnswersErrors)
	ejectedAfter := r.awaitEjection(ctx, server.Name)
	server.SetFault(fake.Healthy)
	r.SetMetric("bad_shunned_after_ms", float64(ejectedAfter.Milliseconds()))
	r.requireWithAgents(ejectedAfter <= ejectionTimeout, "verdict",
		"a failing server was not ejected within %v", ejectionTimeout)
	fake.Sleep(ctx, maxReportAge)
	from := time.Now()
	fake.Sleep(ctx, 3*time.Second)
	share := r.ServerShares(from, time.Now())[server.Name]
	r.SetMetric("recovered_share", share)
	if share < minRecoveredShare {
		r.AddViolation("verdict", fmt.Sprintf("a recovered server gets %.2f of its share", share))
	}
}

// awaitEjection returns the time until a server's share over one second was below maxEjectedShare, or
// maxEjectionWait if its share was never that low.
func (r *run) awaitEjection(ctx context.Context, server string) time.Duration {
	from := time.Now()
	for time.Since(from) < maxEjectionWait && fake.Sleep(ctx, 250*time.Millisecond) {
		now := time.Now()
		if now.Sub(from) > time.Second &&
			r.ServerShares(now.Add(-time.Second), now)[server] < maxEjectedShare {
			return now.Sub(from)
		}
	}
	return maxEjectionWait
}

// serverAnswersNothing measures how soon the load probes of an unresponsive server decrease, and to
// which fraction of their usual number.
func (r *run) serverAnswersNothing(ctx context.Context, server *testbed.Server) {
	const baselineWindow = 2 * time.Second
	baseline := probesWithin(ctx, server, baselineWindow)
	// The decrease counts from the first interval with at most a third of the usual probes.
	reducedCount := baseline / float64(baselineWindow/probeWindow) / 3
	server.SetFault(fake.Unresponsive)
	after := (probeWindowCount + 1) * probeWindow // longer than all intervals: no decrease observed
	for i := range probeWindowCount {
		probes := probesWithin(ctx, server, probeWindow)
		if after > probeWindowCount*probeWindow && probes <= reducedCount {
			after = time.Duration(i+1) * probeWindow
		}
	}
	r.SetMetric("silent_shunned_after_ms", float64(after.Milliseconds()))
	r.SetMetric("silent_probes_of_usual", probesWithin(ctx, server, baselineWindow)/max(baseline, 1))
	server.SetFault(fake.Healthy)
	fake.Sleep(ctx, 3*time.Second)
}

// probesWithin waits for a duration, and returns how many load probes a server received meanwhile.
func probesWithin(ctx context.Context, server *testbed.Server, duration time.Duration) float64 {
	before := server.Probes()
	fake.Sleep(ctx, duration)
	return float64(server.Probes() - before)
}

// rejectingServers makes half of the servers reject every first line as busy while their health checks
// succeed. The retry budget is checked at the end of the run.
func (r *run) rejectingServers(ctx context.Context, _ *mrand.Rand) error {
	rejecting := r.AllServers()[:r.Options.Servers/2]
	for _, server := range rejecting {
		server.SetFault(fake.AnswersBusy)
	}
	fake.Sleep(ctx, 8*time.Second)
	for _, server := range rejecting {
		server.SetFault(fake.Healthy)
	}
	fake.Sleep(ctx, time.Second)
	return nil
}
