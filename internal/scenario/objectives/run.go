package objectives

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"sync"
	"time"

	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/faultproxy"
	"coralrelay/internal/scenario/testbed"
)

const (
	// backgroundClientRate is the rate of the testbed's own clients, which have no contract, as a
	// multiple of the usual rate.
	backgroundClientRate = 0.02
	// dropShare is the share of chunks between nodes and servers that is delayed as if retransmitted.
	dropShare = 0.004
	// maxInflowShare and minBreachInterval are the settings fleet.promises.inflow and
	// fleet.promises.patience.
	maxInflowShare    = 0.15
	minBreachInterval = 45 * time.Second
)

// run is the state of one run of the scenario.
type run struct {
	Options
	*testbed.Testbed
	variant variant
	rootKey ed25519.PrivateKey // signs operators' proposals

	firstSlowZone  string // slow in phaseSlow
	secondSlowZone string // slow in phaseSecondSlow
	smallZone      string // has one server

	mu           sync.Mutex
	baseDelays   map[string]time.Duration // by zone: response time of a server that is not overloaded
	zoneLoads    map[string]float64       // by zone: load, which is 1 at full capacity
	replies      []clientReply
	changes      []steeringChange
	phaseTimes   map[string]timeRange
	unmetReasons map[string]string // by contract
}

// timeRange is the range between two times.
type timeRange struct{ from, until time.Time }

// runVariant runs one variant. All goroutines and processes that it started have ended when it
// returns.
func runVariant(ctx context.Context, options Options, v variant) (*run, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	bedOptions := newBedOptions(options, v)
	bedOptions.OperatorConfig = func(_ string, config *operatorconfig.File) {
		config.Fleet.ReplicatedLog.RootPublicKey = base64.StdEncoding.EncodeToString(public)
		configure(config, options, bedOptions.Zones, v.steered)
	}
	bed, err := testbed.New(ctx, bedOptions)
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	r := newRun(options, v, bed, private)
	r.setUpZones()

	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { r.updateZoneLoads(ctx) })
	wg.Go(func() { r.watchAllocations(ctx) })
	err = bed.Play(ctx, r.phases(ctx, &wg), options.Steps)
	cancel()
	wg.Wait()
	r.recordMetrics()
	return r, err
}

// newBedOptions returns the options of a variant's testbed, without the members' configuration.
func newBedOptions(options Options, v variant) testbed.Options {
	bedOptions := testbed.Options{
		Scenario:     "promises",
		Seed:         options.Seed,
		Nodes:        options.Nodes,
		Servers:      options.Servers,
		Voters:       options.Voters,
		Rate:         options.Rate,
		ProxyServers: true,
		ReportLoad:   true,
		Binary:       options.Binary,
		Agent:        v.agent,
		Mutation:     v.mutation,
		Ramp:         rampTime,
		BudgetWindow: budgetWindow,
		LeaseTimeout: leaseTimeout,
		RetryRatio:   retryRatio,
	}
	if v.name == "" {
		bedOptions.Progress = options.Progress
	}
	for i := range options.Zones {
		bedOptions.Zones = append(bedOptions.Zones, string(rune('a'+i)))
	}
	return bedOptions
}

// configure sets a member's configuration of zone evacuation and of objectives.
func configure(config *operatorconfig.File, options Options, zones []string, steered bool) {
	evacuation := &config.Fleet.Zones
	evacuation.Enabled = true
	evacuation.Zones = zones
	evacuation.StableInterval = duration(700 * time.Millisecond)
	evacuation.MinChangeInterval = duration(2 * time.Second)
	evacuation.SlowStartInterval = duration(rampTime)
	evacuation.ColdCapacityFraction = testbed.SlowStartShare
	evacuation.EndpointSetupRate = options.Rate / float64(options.Servers) / testbed.UsualLoad

	steering := &config.Fleet.SLO
	steering.Enabled = steered
	steering.TimeScale = timeScale
	steering.MaxMoveFraction = maxMoveShare
	steering.MaxInflowFraction = maxInflowShare
	steering.MinBreachInterval = duration(minBreachInterval)
}

func duration(d time.Duration) operatorconfig.Duration { return operatorconfig.Duration{Duration: d} }

func newRun(options Options, v variant, bed *testbed.Testbed, rootKey ed25519.PrivateKey) *run {
	return &run{
		Options:        options,
		Testbed:        bed,
		variant:        v,
		rootKey:        rootKey,
		firstSlowZone:  bed.Zones[1],
		secondSlowZone: bed.Zones[0],
		smallZone:      bed.Zones[2],
		baseDelays:     map[string]time.Duration{},
		zoneLoads:      map[string]float64{},
		phaseTimes:     map[string]timeRange{},
		unmetReasons:   map[string]string{},
	}
}

// setUpZones reduces the small zone to one server, and sets the delays of servers and links.
func (r *run) setUpZones() {
	r.SetRate(backgroundClientRate)
	for _, server := range r.ServersIn(r.smallZone)[1:] {
		r.Leave(server.Name)
	}
	r.setSlowZones()
	r.AnswerDelay = r.answerDelay
	var servers []string
	for _, server := range r.AllServers() {
		servers = append(servers, server.Name)
	}
	r.Proxy.SetOneWay(r.Names, servers, faultproxy.Fault{Delay: time.Millisecond, Drop: dropShare})
}
