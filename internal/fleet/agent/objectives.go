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
	maxQueuedSamples = 4
	// mostSamples are taken from the node at once: it makes one for each part of time.
	maxSamplesPerReport = 4
)

// keeping is one agent's part. Fleet and known are guarded by mu; what is below belongs to
// the agent's Run.
type objectiveKeeper struct {
	SLOOptions
	name, zone string
	send       func(member string, message []byte) error
	queues     map[string]chan []byte // to each other voter

	mu          sync.Mutex
	aggregator  *slo.Aggregator   // nil for one that never leads
	memberZones map[string]string // members' zones

	controller       *slo.Controller
	observations     []slo.Observation // not taken yet
	intervals        []intervalCounts  // the last ones
	contractsVersion uint64            // of the contracts that the fleet knows
	regionNames      []string          // and of the regions
	evaluatedAt      time.Duration
	zonesVersion     uint64 // version of the postures that were looked at last
	proposalSlot     chan struct{}
	proposedIndex    uint64 // the index that the last proposal got, in a slot of busy
}

func newObjectiveKeeper(options Options) *objectiveKeeper {
	k := &objectiveKeeper{SLOOptions: *options.SLO, name: options.Name, zone: options.Zone, send: options.Gossip.Send, queues: map[string]chan []byte{}, proposalSlot: make(chan struct{}, 1), contractsVersion: 1<<64 - 1}
	for _, voter := range k.Voters {
		if voter == k.name {
			k.aggregator, k.controller = slo.NewAggregator(k.Config), slo.NewController(k.Config)
			k.controller.DisabledGuards = k.Guards
			continue
		}
		k.queues[voter] = make(chan []byte, maxQueuedSamples)
	}
	options.Gossip.OnMessage = func(raw []byte) { k.receiveSample(options.Clock(), raw) }
	return k
}

// run tells the voters what the node has measured, until ctx ends.
func (k *objectiveKeeper) sendSamples(ctx context.Context, goroutines *sync.WaitGroup) {
	if k == nil {
		return
	}
	for voter, queue := range k.queues {
		goroutines.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case raw := <-queue:
					if err := k.send(voter, raw); err != nil {
						slog.Debug("fleet: promises: a sample was not told", "err", err)
					}
				}
			}
		})
	}
}

// measured takes the node's samples: whoever may lead is told of them. A node is never
// another than the one beside this agent.
func (k *objectiveKeeper) queueSamples(now time.Duration, samples []slo.Sample) {
	for _, sample := range samples[:min(len(samples), maxSamplesPerReport)] {
		sample.Member, sample.Zone = k.name, k.zone
		raw, err := json.Marshal(sample)
		if err != nil {
			slog.Error("fleet: promises", "err", err)
			return
		}
		for voter, queue := range k.queues {
			select {
			case queue <- raw:
			default:
				slog.Info("fleet: promises: a sample was dropped, the voter takes none", "voter", voter)
			}
		}
		if k.aggregator != nil {
			k.merge(now, sample)
		}
	}
}

// hear takes a sample that another member tells.
func (k *objectiveKeeper) receiveSample(now time.Duration, raw []byte) {
	var sample slo.Sample
	if err := logentry.UnmarshalStrict(raw, &sample); err != nil {
		slog.Warn("fleet: promises: a sample that can't be read", "err", err)
		return
	}
	if k.aggregator != nil && sample.Member != k.name {
		k.merge(now, sample)
	}
}

// merge takes a sample of a member that is there, and stands where it says.
func (k *objectiveKeeper) merge(now time.Duration, sample slo.Sample) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if zone, known := k.memberZones[sample.Member]; !known || zone != sample.Zone {
		return
	}
	if _, err := k.aggregator.Merge(k.ScaledTime(now), sample); err != nil {
		slog.Warn("fleet: promises: a sample was refused", "err", err)
	}
}

// turn takes what was seen in the parts of time that are over.
func (k *objectiveKeeper) closeIntervals(now time.Duration, contracts slo.State, regions []slo.Region, members []zonestatus.Member) {
	var regionNames []string
	for _, r := range regions {
		regionNames = append(regionNames, r.Name)
	}
	k.mu.Lock()
	k.memberZones = map[string]string{k.name: k.zone}
	for _, m := range members {
		k.memberZones[m.Name] = m.Zone
	}
	if contracts.Version != k.contractsVersion || !slices.Equal(regionNames, k.regionNames) {
		k.aggregator.SetContracts(contracts, regions)
		k.contractsVersion, k.regionNames = contracts.Version, regionNames
	}
	observations := k.aggregator.CloseIntervals(k.ScaledTime(now))
	k.mu.Unlock()
	k.countSetups(now, observations)
	k.observations = append(k.observations, observations...)
}

// counted takes what the node has measured, and tells it by which contracts it counts.
func (a *Agent) exchangeObjectives(report *agentapi.Report, response *agentapi.Response) {
	if a.objectives == nil || a.Log == nil {
		return
	}
	a.objectives.queueSamples(a.Clock(), report.Samples)
	if view := a.Log.View(); view.State != nil && view.State.Contracts.Version != report.ContractsVersion {
		response.Contracts = contractList(view.State.Contracts)
	}
}

func contractList(state slo.State) *agentapi.ContractList {
	list := &agentapi.ContractList{Version: state.Version, Contracts: []agentapi.Contract{}}
	for _, contract := range state.Contracts {
		list.Contracts = append(list.Contracts, agentapi.Contract{Name: contract.Name, Priority: contract.Priority, MeasuresMessages: contract.ForMessages})
	}
	return list
}

// present are the members that have not left, as the rooms take them.
func (a *Agent) presentMembers() (members []zonestatus.Member) {
	for _, m := range a.Gossip.Members() {
		if m.Status != quota.Left {
			members = append(members, zonestatus.Member{Name: m.Name, Zone: m.Zone, Alive: m.Status == quota.Alive})
		}
	}
	return members
}
