package agent

import (
	"context"
	"sync"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/replog"
	"coralrelay/internal/fleet/zonestatus"
)

// component is the attribute of the package's log lines.
const component = "agent"

// evaluationInterval is how often members' reports are looked at. A change of the log is
// seen at once.
const evaluationInterval = 100 * time.Millisecond

// ReplicatedLog is what an agent needs of its replica.
type ReplicatedLog interface {
	// View returns the last state, and how fresh it is.
	View() replog.View
	// Changed returns a channel that is closed when the view changes.
	Changed() <-chan struct{}
	// Propose has an entry appended, and returns what became of it.
	Propose(context.Context, logentry.Entry) (logentry.Outcome, error)
	IsLeader() bool
}

// Options configure an agent.
type Options struct {
	Name, Zone     string
	Gossip         *gossip.Member
	Log            ReplicatedLog        // nil for none
	NoLogReason    string               // why there is none: "off", or what is wrong
	LogLease       time.Duration        // the log's lease
	Clock          func() time.Duration // Unix time, as this agent has it
	ClockOffset    time.Duration        // of Clock over the machine's, for rehearsals
	Zones          *zonestatus.Config   // nil where zones are not evacuated
	ZoneGuards     zonestatus.Guards    // guards that a mutation disables
	AlwaysIsolated bool                 // a mutation: decide alone even within the log's lease
	SLO            *SLOOptions          // nil where no objectives are kept
	Accounts       *account.LeaseConfig // nil where the node gets no routes and limits
}

// Agent answers a node and operators: it is an agentapi.Agent. Its methods may be called by
// several goroutines at once.
type Agent struct {
	Options
	startedAt   time.Duration
	objectives  *objectiveKeeper // nil without SLO
	routeTables routeTables
	allocator   quotaAllocator

	// Owned by Run.
	isolatedController *zonestatus.IsolatedController
	zoneController     *zonestatus.Controller
	loggedStale        bool          // it was logged that the log is out of its lease
	proposalSlot       chan struct{} // holds one while a zone change is proposed

	mu       sync.Mutex
	decision gossip.Decision // the last one
}

var _ agentapi.Agent = (*Agent)(nil)

// New returns an agent that Run has to serve.
func New(options Options) *Agent {
	a := &Agent{Options: options, startedAt: options.Clock(), proposalSlot: make(chan struct{}, 1)}
	if options.Zones != nil {
		a.isolatedController = zonestatus.NewIsolatedController(*options.Zones)
		a.isolatedController.DisabledGuards = options.ZoneGuards
		a.zoneController = zonestatus.NewController(*options.Zones)
		a.zoneController.DisabledGuards = options.ZoneGuards
	}
	if options.Accounts != nil {
		a.allocator.config = *options.Accounts
		a.allocator.jobs = make(chan allocationJob, 1)
	}
	if options.SLO != nil {
		a.objectives = newObjectiveKeeper(options)
	}
	return a
}

// Run evaluates members' reports and the log until ctx ends. It returns when nothing of the
// agent runs any more.
func (a *Agent) Run(ctx context.Context) {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.objectives.sendSamples(ctx, &goroutines)
	goroutines.Go(func() { a.allocator.run(ctx, a) })
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for {
		var changed <-chan struct{}
		if a.Log != nil {
			changed = a.Log.Changed()
		}
		a.evaluate(ctx, &goroutines)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// evaluate looks at the log and at members' reports once. Proposals run on goroutines.
func (a *Agent) evaluate(ctx context.Context, goroutines *sync.WaitGroup) {
	now := a.Clock()
	var view replog.View
	if a.Log != nil {
		view = a.Log.View()
	}
	var zones zonestatus.State
	if view.State != nil {
		zones = view.State.Zones
	}
	a.decide(now, view, zones)
	if a.Zones != nil && a.isLeader() {
		a.proposeZoneChange(ctx, now, zones, goroutines)
	}
	if a.Accounts != nil {
		a.routeTables.rebuild(now, view.State)
	}
	a.evaluateObjectives(ctx, now, view, a.isLeader(), goroutines)
}

// decide sets how much traffic the node may send into other zones, by the log or, out of its
// lease, by the isolated controller.
func (a *Agent) decide(now time.Duration, view replog.View, zones zonestatus.State) {
	var decision gossip.Decision
	if view.State != nil {
		decision.LogIndex = view.State.Index
	}
	followsLog := a.followsLog(now, view) && !a.AlwaysIsolated
	switch {
	case a.Zones == nil:
	case followsLog:
		decision.ZoneLimits = zones.TrafficLimits(a.Zone)
		decision.ShedFraction = zones.Shed
	default:
		decision.ZoneLimits = a.isolatedController.Evaluate(now, zones, a.Gossip.OwnZoneReport())
		decision.ShedFraction = zones.Shed
	}
	a.Gossip.SetDecision(decision)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decision = decision
}

func (a *Agent) isLeader() bool { return a.Log != nil && a.Log.IsLeader() }

// presentMembers returns the members that have not left.
func (a *Agent) presentMembers() (members []zonestatus.Member) {
	for _, m := range a.Gossip.Members() {
		if m.Status != quota.Left {
			members = append(members, zonestatus.Member{Name: m.Name, Zone: m.Zone, Alive: m.Status == quota.Alive})
		}
	}
	return members
}

// HandleReport takes a report of the node and answers it. The node's clock is the machine's.
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
