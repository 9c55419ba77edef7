// Package agent holds the parts of the fleet's agent together: gossip, the record beside
// it, the decider that turns what members saw into changes of the record, and what the node
// and operators are answered. Without a record the rest goes on.
package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/replog"
	"coralrelay/internal/fleet/zonestatus"
)

// every is how often evidence is looked at. A change of the record is heard at once.
const evaluationInterval = 100 * time.Millisecond

// Record is what an agent asks of package record.
type ReplicatedLog interface {
	View() replog.View
	Changed() <-chan struct{}
	Propose(context.Context, logentry.Entry) (logentry.Outcome, error)
	IsLeader() bool
}

// Options say what an agent is made of.
type Options struct {
	Name, Zone     string
	Gossip         *gossip.Member
	Log            ReplicatedLog      // nil for none
	NoLogReason    string             // there is none: off, or what is wrong
	Zones          *zonestatus.Config // nil where zones are not left
	LogLease       time.Duration      // the record's
	ClockOffset    time.Duration      // of the agent's clock over the machine's, for rehearsals
	Clock          func() time.Duration
	AlwaysIsolated bool // a guard taken out: decide alone though the record is heard
	ZoneGuards     zonestatus.Guards
	SLO            *SLOOptions          // nil where contracts are not kept
	Accounts       *account.LeaseConfig // nil where routes and limits are not told
}

// Agent answers a node and operators: it is a link.Agent.
type Agent struct {
	Options
	startedAt          time.Duration
	isolatedController *zonestatus.IsolatedController
	zoneController     *zonestatus.Controller
	loggedStale        bool             // it was said that the record is not heard
	proposalSlot       chan struct{}    // holds one while a proposal is under way
	objectives         *objectiveKeeper // nil without promises
	routeTables        routeTables
	allocator          quotaAllocator

	mu       sync.Mutex
	decision gossip.Decision
}

// New returns an agent that Run has to keep.
func New(options Options) *Agent {
	a := &Agent{Options: options, startedAt: options.Clock(), proposalSlot: make(chan struct{}, 1)}
	if options.Zones != nil {
		a.isolatedController, a.zoneController = zonestatus.NewIsolatedController(*options.Zones), zonestatus.NewController(*options.Zones)
		a.isolatedController.DisabledGuards, a.zoneController.DisabledGuards = options.ZoneGuards, options.ZoneGuards
	}
	if options.Accounts != nil {
		a.allocator.config, a.allocator.jobs = *options.Accounts, make(chan allocationJob, 1)
	}
	if options.SLO != nil {
		a.objectives = newObjectiveKeeper(options)
	}
	return a
}

// Run decides until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var proposals sync.WaitGroup
	defer proposals.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.objectives.sendSamples(ctx, &proposals)
	proposals.Go(func() { a.allocator.run(ctx, a) })
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for {
		var changed <-chan struct{}
		if a.Log != nil {
			changed = a.Log.Changed()
		}
		a.evaluate(ctx, &proposals)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// step looks at the record and at what was seen, once.
func (a *Agent) evaluate(ctx context.Context, proposals *sync.WaitGroup) {
	now := a.Clock()
	var view replog.View
	if a.Log != nil {
		view = a.Log.View()
	}
	var decision gossip.Decision
	var state zonestatus.State
	if view.State != nil {
		decision.LogIndex, state = view.State.Index, view.State.Zones
	}
	followsLog := a.followsLog(now, view) && !a.AlwaysIsolated
	switch {
	case a.Zones == nil:
	case followsLog:
		decision.ZoneLimits, decision.ShedFraction = state.TrafficLimits(a.Zone), state.Shed
	default:
		decision.ZoneLimits, decision.ShedFraction = a.isolatedController.Evaluate(now, state, a.Gossip.OwnZoneReport()), state.Shed
	}
	a.Gossip.SetDecision(decision)
	a.mu.Lock()
	a.decision = decision
	a.mu.Unlock()
	if a.Zones != nil && a.Log != nil && a.Log.IsLeader() {
		a.proposeZoneChange(ctx, now, state, proposals)
	}
	if a.Accounts != nil {
		a.routeTables.rebuild(now, view.State)
	}
	a.evaluateObjectives(ctx, now, view, a.Log != nil && a.Log.IsLeader(), proposals)
}

// hears tells whether the record's word holds, and says when it begins or ends not to.
func (a *Agent) followsLog(now time.Duration, view replog.View) bool {
	switch {
	case a.Zones == nil || view.WithinLease != a.loggedStale || !view.WithinLease && now-a.startedAt < a.LogLease:
		return view.WithinLease
	case view.WithinLease:
		slog.Info("fleet: zones: this member goes by the record's word again", "index", view.State.Index, "leader", view.Leader)
	default:
		index, age := uint64(0), "never"
		if view.State != nil {
			index = view.State.Index
		}
		if !view.ConfirmedAt.IsZero() {
			age = time.Since(view.ConfirmedAt).Round(time.Millisecond).String()
		}
		slog.Info("fleet: zones: the record is not heard, this member goes by its last word and by what its node sees", "index", index, "heard", age)
	}
	a.loggedStale = !view.WithinLease
	return view.WithinLease
}

// Answer takes what the node has said. The node's clock is the machine's.
func (a *Agent) HandleReport(report agentapi.Report) agentapi.Response {
	lease := a.Gossip.ReportQuotaUsage(report.QuotaUsage)
	lease.TokensExpireAt -= a.ClockOffset
	response := agentapi.Response{QuotaLease: lease}
	if a.Accounts != nil && a.Log != nil {
		a.routeTables.updateNodeState(&report)
		a.routeTables.respond(&report, &response)
		a.allocator.respond(a, a.Clock(), a.Log.View(), &report, &response)
	}
	a.exchangeObjectives(&report, &response)
	return response
}
