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
	// ejectionTimeout is how soon a server that answers errors has to be ejected: what was
	// served before has to fade (2 s), half of those who use it have to see it fail, and the
	// share is taken over a second.
	ejectionTimeout = 5 * time.Second
	// ejectionWatch is how long the phase looks for that.
	ejectionWatch = 8 * time.Second
	// maxEjectedShare is what an ejected server may still get of its share.
	maxEjectedShare = 0.35
	// minRecoveredShare is what a server that works again has to get of its share.
	minRecoveredShare = 0.5
	// reportMemory is how long outlier reports are remembered at most.
	reportMemory = 7 * time.Second
	// probeWindow and probeWindows are for how long, and how often, the probes of a server that
	// answers nothing are counted.
	probeWindow  = 500 * time.Millisecond
	probeWindows = 6
)

// failingServers has a server answer every first line with an error, while its health checks
// succeed, and then another answer nothing at all.
func (r *run) failingServers(ctx context.Context, _ *mrand.Rand) error {
	servers := r.AllServers()
	r.serverAnswersErrors(ctx, servers[3])
	r.serverAnswersNothing(ctx, servers[4])
	return nil
}

func (r *run) serverAnswersErrors(ctx context.Context, server *testbed.Server) {
	server.SetFault(fake.AnswersErrors)
	ejectedAfter := r.awaitEjection(ctx, server.Name)
	server.SetFault(fake.Healthy)
	r.SetMetric("bad_shunned_after_ms", float64(ejectedAfter.Milliseconds()))
	r.checkAgents(ejectedAfter <= ejectionTimeout, "verdict",
		"a server that fails was not shunned within %v", ejectionTimeout)
	fake.Sleep(ctx, reportMemory)
	from := time.Now()
	fake.Sleep(ctx, 3*time.Second)
	share := r.ServerShares(from, time.Now())[server.Name]
	r.SetMetric("recovered_share", share)
	if share < minRecoveredShare {
		r.AddViolation("verdict", fmt.Sprintf("a server that works again gets %.2f of its share", share))
	}
}

// awaitEjection returns after which time a server got little of its share for a second, or
// ejectionWatch if it always got more.
func (r *run) awaitEjection(ctx context.Context, server string) time.Duration {
	from := time.Now()
	for time.Since(from) < ejectionWatch && fake.Sleep(ctx, 250*time.Millisecond) {
		now := time.Now()
		if now.Sub(from) > time.Second && r.ServerShares(now.Add(-time.Second), now)[server] < maxEjectedShare {
			return now.Sub(from)
		}
	}
	return ejectionWatch
}

// serverAnswersNothing measures how soon, and to what, probes of an unresponsive server fall.
func (r *run) serverAnswersNothing(ctx context.Context, server *testbed.Server) {
	const usualWindow = 2 * time.Second
	usual := probesWithin(ctx, server, usualWindow)
	// A third of the usual number in this time is little.
	few := usual / float64(usualWindow/probeWindow) / 3
	server.SetFault(fake.Unresponsive)
	after := (probeWindows + 1) * probeWindow // more than is looked for: not seen
	for i := range probeWindows {
		probes := probesWithin(ctx, server, probeWindow)
		if after > probeWindows*probeWindow && probes <= few {
			after = time.Duration(i+1) * probeWindow
		}
	}
	r.SetMetric("silent_shunned_after_ms", float64(after.Milliseconds()))
	r.SetMetric("silent_probes_of_usual", probesWithin(ctx, server, usualWindow)/max(usual, 1))
	server.SetFault(fake.Healthy)
	fake.Sleep(ctx, 3*time.Second)
}

// probesWithin counts the load probes that a server gets within a time.
func probesWithin(ctx context.Context, server *testbed.Server, duration time.Duration) float64 {
	before := server.Probes()
	fake.Sleep(ctx, duration)
	return float64(server.Probes() - before)
}

// rejectingServers has half of the servers reject every first line, while their health checks
// succeed.
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
