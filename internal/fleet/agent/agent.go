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
const every = 100 * time.Millisecond

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
	began   time.Duration
	alone   *zonestatus.IsolatedController
	watch   *zonestatus.Controller
	deaf    bool          // it was said that the record is not heard
	out     chan struct{} // holds one while a proposal is under way
	keeping *keeping      // nil without promises
	tables  tables
	dealing dealing

	mu    sync.Mutex
	given gossip.Decision
}

// New returns an agent that Run has to keep.
func New(o Options) *Agent {
	a := &Agent{Options: o, began: o.Clock(), out: make(chan struct{}, 1)}
	if o.Zones != nil {
		a.alone, a.watch = zonestatus.NewIsolatedController(*o.Zones), zonestatus.NewController(*o.Zones)
		a.alone.DisabledGuards, a.watch.DisabledGuards = o.ZoneGuards, o.ZoneGuards
	}
	if o.Accounts != nil {
		a.dealing.cfg, a.dealing.jobs = *o.Accounts, make(chan job, 1)
	}
	if o.SLO != nil {
		a.keeping = newKeeping(o)
	}
	return a
}

// Run decides until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var proposals sync.WaitGroup
	defer proposals.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.keeping.run(ctx, &proposals)
	proposals.Go(func() { a.dealing.run(ctx, a) })
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		var changed <-chan struct{}
		if a.Log != nil {
			changed = a.Log.Changed()
		}
		a.step(ctx, &proposals)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-changed:
		}
	}
}

// step looks at the record and at what was seen, once.
func (a *Agent) step(ctx context.Context, proposals *sync.WaitGroup) {
	now := a.Clock()
	var v replog.View
	if a.Log != nil {
		v = a.Log.View()
	}
	var d gossip.Decision
	var state zonestatus.State
	if v.State != nil {
		d.LogIndex, state = v.State.Index, v.State.Zones
	}
	heard := a.hears(now, v) && !a.AlwaysIsolated
	switch {
	case a.Zones == nil:
	case heard:
		d.ZoneLimits, d.ShedFraction = state.TrafficLimits(a.Zone), state.Shed
	default:
		d.ZoneLimits, d.ShedFraction = a.alone.Evaluate(now, state, a.Gossip.OwnZoneReport()), state.Shed
	}
	a.Gossip.SetDecision(d)
	a.mu.Lock()
	a.given = d
	a.mu.Unlock()
	if a.Zones != nil && a.Log != nil && a.Log.IsLeader() {
		a.lead(ctx, now, state, proposals)
	}
	if a.Accounts != nil {
		a.tables.renew(now, v.State)
	}
	a.keep(ctx, now, v, a.Log != nil && a.Log.IsLeader(), proposals)
}

// hears tells whether the record's word holds, and says when it begins or ends not to.
func (a *Agent) hears(now time.Duration, v replog.View) bool {
	switch {
	case a.Zones == nil || v.WithinLease != a.deaf || !v.WithinLease && now-a.began < a.LogLease:
		return v.WithinLease
	case v.WithinLease:
		slog.Info("fleet: zones: this member goes by the record's word again", "index", v.State.Index, "leader", v.Leader)
	default:
		index, age := uint64(0), "never"
		if v.State != nil {
			index = v.State.Index
		}
		if !v.ConfirmedAt.IsZero() {
			age = time.Since(v.ConfirmedAt).Round(time.Millisecond).String()
		}
		slog.Info("fleet: zones: the record is not heard, this member goes by its last word and by what its node sees", "index", index, "heard", age)
	}
	a.deaf = !v.WithinLease
	return v.WithinLease
}

// Answer takes what the node has said. The node's clock is the machine's.
func (a *Agent) HandleReport(s agentapi.Report) agentapi.Response {
	g := a.Gossip.ReportQuotaUsage(s.QuotaUsage)
	g.TokensExpireAt -= a.ClockOffset
	told := agentapi.Response{QuotaLease: g}
	if a.Accounts != nil && a.Log != nil {
		a.tables.hear(&s)
		a.tables.tell(&s, &told)
		a.dealing.tell(a, a.Clock(), a.Log.View(), &s, &told)
	}
	a.counted(&s, &told)
	return told
}
