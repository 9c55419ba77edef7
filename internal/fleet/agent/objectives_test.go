package agent

import (
	"math"
	"testing"
	"time"

	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// newTestKeeper returns the objective keeper of the voter n1 in zone a, without queues.
func newTestKeeper(zones zonestatus.Config) *objectiveKeeper {
	config := slo.DefaultConfig()
	return &objectiveKeeper{
		SLOOptions: SLOOptions{
			Config:     config,
			TimeScale:  1,
			ScaledTime: func(at time.Duration) time.Duration { return at },
			Zones:      zones,
		},
		name:       "n1",
		zone:       "a",
		aggregator: slo.NewAggregator(config),
		controller: slo.NewController(config),
	}
}

// Regions combine what all members observe, within the limits of the zones' status; a member
// that reports too much changes nothing, nor does one that has left.
func TestRegionsCombineMembersReports(t *testing.T) {
	zones := zonestatus.DefaultConfig()
	zones.Regions = map[string][]string{"south": {"b", "c"}}
	members := []zonestatus.Member{
		{Name: "n2", Zone: "b", Alive: true}, {Name: "n3", Zone: "c", Alive: true}, {Name: "n4", Zone: "c"}}
	report := func(member string, endpoints int, load float64) zonestatus.Report {
		return zonestatus.Report{Member: member, Observations: []zonestatus.Observation{
			{Zone: "a", Endpoints: endpoints, Load: load},
			{Zone: "b", Endpoints: endpoints, Load: -1},
			{Zone: "c", Endpoints: endpoints, WarmingUp: endpoints, Load: load},
		}}
	}
	reports := []zonestatus.Report{
		report("n1", 2, 0.4), report("n2", 2, 0.4), report("n3", 900, 90), report("n4", 0, 0)}
	state := zonestatus.State{Pairs: []zonestatus.PairStatus{
		{From: "a", To: "b", Status: zonestatus.Evacuated}, {From: "b", To: "a", Share: 0.5}}}
	want := []slo.Region{
		{Name: "a", UsableFraction: 0.5, Capacity: 20, OtherTraffic: 8, Load: 0.4},
		// Its other traffic is below a tenth of its capacity.
		{Name: "south", UsableFraction: 6.0 / 26, Capacity: 26, Load: 0.4 * 6 / 26},
	}
	got := newTestKeeper(zones).regions(state, reports, members)
	if len(got) != len(want) {
		t.Fatalf("%+v, want %+v", got, want)
	}
	differ := func(a, b float64) bool { return math.Abs(a-b) > 1e-9 }
	for i, region := range got {
		if region.Name != want[i].Name || region.Capacity != want[i].Capacity ||
			differ(region.UsableFraction, want[i].UsableFraction) ||
			differ(region.OtherTraffic, want[i].OtherTraffic) || differ(region.Load, want[i].Load) {
			t.Errorf("%+v, want %+v", region, want[i])
		}
	}
}

// A sample counts if its member is present and in the zone that the sample says, and once.
func TestSamplesCountOnlyFromTheMembersZone(t *testing.T) {
	const startedAt = 1000 * time.Hour
	interval := slo.DefaultConfig().SampleInterval
	recorder := slo.NewRecorder(slo.DefaultConfig(), "n2", "b", 1)
	contracts := slo.State{Version: 1, Contracts: []slo.Contract{{Name: "gold"}}}
	recorder.SetContracts(contracts)
	recorder.Rotate(startedAt)
	recorder.Record(startedAt, "gold", "a", 20*time.Millisecond)
	sample := recorder.Rotate(startedAt + interval)
	regions := []slo.Region{{Name: "a"}}
	for name, tt := range map[string]struct {
		members []zonestatus.Member
		want    int
	}{
		"known":     {[]zonestatus.Member{{Name: "n2", Zone: "b", Alive: true}}, 1},
		"elsewhere": {[]zonestatus.Member{{Name: "n2", Zone: "c", Alive: true}}, 0},
		"unknown":   {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			k := newTestKeeper(zonestatus.Config{})
			k.closeIntervals(startedAt+interval, contracts, regions, tt.members)
			k.merge(startedAt+interval, *sample)
			k.merge(startedAt+interval, *sample)
			k.closeIntervals(startedAt+3*interval, contracts, regions, tt.members)
			rates := k.setupRates().byContract
			if len(k.observations) != tt.want || tt.want > 0 && rates["gold"] != 0.2 {
				t.Errorf("%+v, set-up rates %v", k.observations, rates)
			}
		})
	}
}
