package agent

import (
	"math"
	"slices"
	"sync"
	"time"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// SLOOptions say how an agent takes part in keeping contracts on response times.
type SLOOptions struct {
	Config slo.Config
	// TimeScale is how many times faster the Config's time passes; 1 but for rehearsals.
	TimeScale int
	// ScaledTime returns the Config's time at a Unix time.
	ScaledTime func(unix time.Duration) time.Duration
	Zones      zonestatus.Config // regions, and the capacity of a warm endpoint
	Voters     []string          // members that may lead
	Guards     slo.Guards        // guards that a mutation disables
}

// noContractsVersion is the version of contracts that were not set yet.
const noContractsVersion = math.MaxUint64

// objectiveKeeper is one agent's part in keeping objectives. Every member sends the latency
// samples of its node to the voters; each of these aggregates them, the leader acts on them.
type objectiveKeeper struct {
	SLOOptions
	name, zone string
	send       func(member string, message []byte) error
	queues     map[string]chan []byte // samples for each other voter

	mu          sync.Mutex
	aggregator  *slo.Aggregator   // nil for a member that never leads
	memberZones map[string]string // the zone of each present member

	// Owned by the agent's Run.
	controller       *slo.Controller
	observations     []slo.Observation // not evaluated yet
	intervals        []intervalCounts  // the last ones, the oldest first
	contractsVersion uint64            // of the contracts that the aggregator has
	regionNames      []string          // of the regions that it has
	evaluatedAt      time.Duration     // in the Config's time
	zonesVersion     uint64            // version of the zones' status at the last evaluation
	proposalSlot     chan struct{}     // holds one while an evaluation or a proposal is under way
	proposedIndex    uint64            // index of the last proposal; guarded by the proposalSlot
}

func newObjectiveKeeper(options Options) *objectiveKeeper {
	k := &objectiveKeeper{
		SLOOptions:       *options.SLO,
		name:             options.Name,
		zone:             options.Zone,
		send:             options.Gossip.Send,
		queues:           map[string]chan []byte{},
		proposalSlot:     make(chan struct{}, 1),
		contractsVersion: noContractsVersion,
	}
	for _, voter := range k.Voters {
		if voter == k.name {
			k.aggregator = slo.NewAggregator(k.Config)
			k.controller = slo.NewController(k.Config)
			k.controller.DisabledGuards = k.Guards
			continue
		}
		k.queues[voter] = make(chan []byte, maxQueuedSamples)
	}
	options.Gossip.OnMessage = func(raw []byte) { k.receiveSample(options.Clock(), raw) }
	return k
}

// closeIntervals takes the observations of the intervals that are over.
func (k *objectiveKeeper) closeIntervals(now time.Duration, contracts slo.State, regions []slo.Region,
	members []zonestatus.Member) {
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

// exchangeObjectives takes the node's samples, and answers with the contracts if the node
// measures by others.
func (a *Agent) exchangeObjectives(report *agentapi.Report, response *agentapi.Response) {
	if a.objectives == nil || a.Log == nil {
		return
	}
	a.objectives.queueSamples(a.Clock(), report.Samples)
	view := a.Log.View()
	if view.State != nil && view.State.Contracts.Version != report.ContractsVersion {
		response.Contracts = contractList(view.State.Contracts)
	}
}

func contractList(state slo.State) *agentapi.ContractList {
	list := &agentapi.ContractList{Version: state.Version, Contracts: []agentapi.Contract{}}
	for _, contract := range state.Contracts {
		list.Contracts = append(list.Contracts, agentapi.Contract{
			Name:             contract.Name,
			Priority:         contract.Priority,
			MeasuresMessages: contract.ForMessages,
		})
	}
	return list
}
