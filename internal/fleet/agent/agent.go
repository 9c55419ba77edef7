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

// component is the value of the attribute "component" in the package's log lines.
const component = "agent"

// evaluationInterval is how often members' reports are evaluated. A change of the replicated log
// triggers an evaluation at once.
const evaluationInterval = 100 * time.Millisecond

// ReplicatedLog is the replica of the replicated log that an agent uses.
type ReplicatedLog interface {
	// View returns the last state that the replica has applied, and whether it is within its lease.
	View() replog.View
	// Changed returns a channel that is closed when the view changes.
	Changed() <-chan struct{}
	// Propose proposes an entry and returns its outcome.
	Propose(context.Context, logentry.Entry) (logentry.Outcome, error)
	// IsLeader reports whether this replica leads.
	IsLeader() bool
}

// Options configure an agent.
type Options struct {
	Name, Zone     string
	Gossip         *gossip.Member
	Log            ReplicatedLog        // nil if the agent has no replicated log
	NoLogReason    string               // why Log is nil: "off", or the error
	LogLease       time.Duration        // lease of the replicated log
	Clock          func() time.Duration // returns this agent's Unix time
	ClockOffset    time.Duration        // Clock minus the machine's clock; 0 except in rehearsals
	Zones          *zonestatus.Config   // nil if zones are not evacuated
	ZoneGuards     zonestatus.Guards    // guards that a mutation test disables
	AlwaysIsolated bool                 // never follow the log; set only by a mutation test
	SLO            *SLOOptions          // nil if there are no objectives
	Accounts       *account.LeaseConfig // nil if the node gets no routes and limits
}

// Agent responds to the local node and to operators. It implements agentapi.Agent. Its methods are safe
// for concurrent use.
type Agent struct {
	Options
	startedAt   time.Duration
	objectives  *objectiveManager // nil if Options.SLO is nil
	routeTables routeTables
	allocator   quotaAllocator

	// Owned by Run.
	isolatedController *zonestatus.IsolatedController
	zoneController     *zonestatus.Controller
	loggedContactLost  bool          // the last logged change was that the replicated log is out of contact
	proposalSlot       chan struct{} // holds a value while a zone change is being proposed

	mu       sync.Mutex
	decision gossip.Decision // latest decision
}

var _ agentapi.Agent = (*Agent)(nil)

// New returns an agent. It has no effect until Run is called.
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
		a.objectives = newObjectiveManager(options)
	}
	return a
}

// Run evaluates members' reports and the replicated log until ctx ends. It returns after all goroutines
// that it started have ended.
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

// evaluate evaluates the replicated log and members' reports once. It starts a goroutine for each proposal.
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

// decide sets how much traffic the node may send into other zones. The replicated log determines it
// within the log's lease, and the isolated controller otherwise.
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

// HandleReport handles a report of the node and returns the response. Times in the response are by the
// machine's clock, which the node uses.
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
