package agent

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// Promises say how an agent takes part in keeping contracts on response times.
type SLOOptions struct {
	Config     slo.Config
	TimeScale  int                                    // how many times faster the Config's time passes; 1 but for rehearsals
	ScaledTime func(unix time.Duration) time.Duration // the Config's time
	Zones      zonestatus.Config                      // regions, and what a warm next hop bears
	Voters     []string                               // who may lead
	Guards     slo.Guards
}

const (
	// waiting is how many samples wait for one voter; beyond that the newest is dropped.
	waiting = 4
	// mostSamples are taken from the node at once: it makes one for each part of time.
	mostSamples = 4
)

// keeping is one agent's part. Fleet and known are guarded by mu; what is below belongs to
// the agent's Run.
type keeping struct {
	SLOOptions
	name, zone string
	tell       func(member string, message []byte) error
	out        map[string]chan []byte // to each other voter

	mu    sync.Mutex
	fleet *slo.Aggregator   // nil for one that never leads
	known map[string]string // members' zones

	steer   *slo.Controller
	seen    []slo.Observation // not taken yet
	parts   []part            // the last ones
	version uint64            // of the contracts that the fleet knows
	names   []string          // and of the regions
	looked  time.Duration
	zones   uint64 // version of the postures that were looked at last
	busy    chan struct{}
	applied uint64 // the index that the last proposal got, in a slot of busy
}

func newKeeping(o Options) *keeping {
	k := &keeping{SLOOptions: *o.SLO, name: o.Name, zone: o.Zone, tell: o.Gossip.Send, out: map[string]chan []byte{}, busy: make(chan struct{}, 1), version: 1<<64 - 1}
	for _, v := range k.Voters {
		if v == k.name {
			k.fleet, k.steer = slo.NewAggregator(k.Config), slo.NewController(k.Config)
			k.steer.DisabledGuards = k.Guards
			continue
		}
		k.out[v] = make(chan []byte, waiting)
	}
	o.Gossip.OnMessage = func(raw []byte) { k.hear(o.Clock(), raw) }
	return k
}

// run tells the voters what the node has measured, until ctx ends.
func (k *keeping) run(ctx context.Context, parts *sync.WaitGroup) {
	if k == nil {
		return
	}
	for voter, queue := range k.out {
		parts.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case raw := <-queue:
					if err := k.tell(voter, raw); err != nil {
						slog.Debug("fleet: promises: a sample was not told", "err", err)
					}
				}
			}
		})
	}
}

// measured takes the node's samples: whoever may lead is told of them. A node is never
// another than the one beside this agent.
func (k *keeping) measured(now time.Duration, samples []slo.Sample) {
	for _, s := range samples[:min(len(samples), mostSamples)] {
		s.Member, s.Zone = k.name, k.zone
		raw, err := json.Marshal(s)
		if err != nil {
			slog.Error("fleet: promises", "err", err)
			return
		}
		for voter, queue := range k.out {
			select {
			case queue <- raw:
			default:
				slog.Info("fleet: promises: a sample was dropped, the voter takes none", "voter", voter)
			}
		}
		if k.fleet != nil {
			k.merge(now, s)
		}
	}
}

// hear takes a sample that another member tells.
func (k *keeping) hear(now time.Duration, raw []byte) {
	var s slo.Sample
	if err := logentry.UnmarshalStrict(raw, &s); err != nil {
		slog.Warn("fleet: promises: a sample that can't be read", "err", err)
		return
	}
	if k.fleet != nil && s.Member != k.name {
		k.merge(now, s)
	}
}

// merge takes a sample of a member that is there, and stands where it says.
func (k *keeping) merge(now time.Duration, s slo.Sample) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, ok := k.known[s.Member]; !ok || at != s.Zone {
		return
	}
	if _, err := k.fleet.Merge(k.ScaledTime(now), s); err != nil {
		slog.Warn("fleet: promises: a sample was refused", "err", err)
	}
}

// turn takes what was seen in the parts of time that are over.
func (k *keeping) turn(now time.Duration, s slo.State, regions []slo.Region, members []zonestatus.Member) {
	var names []string
	for _, r := range regions {
		names = append(names, r.Name)
	}
	k.mu.Lock()
	k.known = map[string]string{k.name: k.zone}
	for _, m := range members {
		k.known[m.Name] = m.Zone
	}
	if s.Version != k.version || !slices.Equal(names, k.names) {
		k.fleet.SetContracts(s, regions)
		k.version, k.names = s.Version, names
	}
	seen := k.fleet.CloseIntervals(k.ScaledTime(now))
	k.mu.Unlock()
	k.count(now, seen)
	k.seen = append(k.seen, seen...)
}

// counted takes what the node has measured, and tells it by which contracts it counts.
func (a *Agent) counted(said *agentapi.Report, told *agentapi.Response) {
	if a.keeping == nil || a.Log == nil {
		return
	}
	a.keeping.measured(a.Clock(), said.Samples)
	if v := a.Log.View(); v.State != nil && v.State.Contracts.Version != said.ContractsVersion {
		told.Contracts = promised(v.State.Contracts)
	}
}

func promised(s slo.State) *agentapi.ContractList {
	p := &agentapi.ContractList{Version: s.Version, Contracts: []agentapi.Contract{}}
	for _, c := range s.Contracts {
		p.Contracts = append(p.Contracts, agentapi.Contract{Name: c.Name, Priority: c.Priority, MeasuresMessages: c.ForMessages})
	}
	return p
}

// present are the members that have not left, as the rooms take them.
func (a *Agent) present() (members []zonestatus.Member) {
	for _, m := range a.Gossip.Members() {
		if m.Status != quota.Left {
			members = append(members, zonestatus.Member{Name: m.Name, Zone: m.Zone, Alive: m.Status == quota.Alive})
		}
	}
	return members
}
