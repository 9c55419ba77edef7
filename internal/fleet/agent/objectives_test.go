package agent

import (
	"math"
	"testing"
	"time"

	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// newTestManager returns the objectiveManager of the voter n1 in zone a, without other voters.
func newTestManager(zones zonestatus.Config) *objectiveManager {
	config := slo.DefaultConfig()
	return &objectiveManager{
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

// Regions combine the observations of all members, within the limits of the zone statuses. Neither a
// member that reports too high values nor one that is not alive changes the result.
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
		// OtherTraffic is 0, because it would be below a tenth of the capacity.
		{Name: "south", UsableFraction: 6.0 / 26, Capacity: 26, Load: 0.4 * 6 / 26},
	}
	got := newTestManager(zones).regions(state, reports, members)
	if len(got) != len(want) {
		t.Fatalf("regions %+v, want %+v", got, want)
	}
	differ := func(a, b float64) bool { return math.Abs(a-b) > 1e-9 }
	for i, region := range got {
		if region.Name != want[i].Name || region.Capacity != want[i].Capacity ||
			differ(region.UsableFraction, want[i].UsableFraction) ||
			differ(region.OtherTraffic, want[i].OtherTraffic) || differ(region.Load, want[i].Load) {
			t.Errorf("region %+v, want %+v", region, want[i])
		}
	}
}

// A sample counts once, and only if its member is in the fleet and in the sample's zone.
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
			o := newTestManager(zonestatus.Config{})
			o.closeIntervals(startedAt+interval, contracts, regions, tt.members)
			o.merge(startedAt+interval, *sample)
			o.merge(startedAt+interval, *sample)
			o.closeIntervals(startedAt+3*interval, contracts, regions, tt.members)
			rates := o.setupRates().byContract
			if len(o.observations) != tt.want || tt.want > 0 && rates["gold"] != 0.2 {
				t.Errorf("observations %+v, set-up rates %v", o.observations, rates)
			}
		})
	}
}
