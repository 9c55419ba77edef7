package agent

import (
	"testing"
	"time"

	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// Regions are what members see together, within what postures leave; who says too much
// changes nothing, nor does who has left.
func TestRegionsCombineMembersReports(t *testing.T) {
	cfg := zonestatus.DefaultConfig()
	cfg.Regions = map[string][]string{"south": {"b", "c"}}
	k := &objectiveKeeper{SLOOptions: SLOOptions{Config: slo.DefaultConfig(), TimeScale: 1, ScaledTime: func(at time.Duration) time.Duration { return at }, Zones: cfg}, name: "n1", zone: "a"}
	members := []zonestatus.Member{{Name: "n2", Zone: "b", Alive: true}, {Name: "n3", Zone: "c", Alive: true}, {Name: "n4", Zone: "c"}}
	report := func(member string, servers int, load float64) zonestatus.Report {
		return zonestatus.Report{Member: member, Observations: []zonestatus.Observation{{Zone: "a", Endpoints: servers, Load: load}, {Zone: "b", Endpoints: servers, Load: -1}, {Zone: "c", Endpoints: servers, WarmingUp: servers, Load: load}}}
	}
	reports := []zonestatus.Report{report("n1", 2, 0.4), report("n2", 2, 0.4), report("n3", 900, 90), report("n4", 0, 0)}
	state := zonestatus.State{Pairs: []zonestatus.PairStatus{{From: "a", To: "b", Status: zonestatus.Evacuated}, {From: "b", To: "a", Share: 0.5}}}
	want := []slo.Region{{Name: "a", UsableFraction: 0.5, Capacity: 20, OtherTraffic: 8, Load: 0.4}, {Name: "south", Capacity: 26, UsableFraction: 6.0 / 26, Load: 0.4 * 6 / 26}}
	want[1].OtherTraffic = 0 // below a tenth of what it bears
	for i, r := range k.regions(state, reports, members) {
		if d := r.UsableFraction - want[i].UsableFraction; r.Name != want[i].Name || r.Capacity != want[i].Capacity || d > 1e-9 || d < -1e-9 || r.OtherTraffic-want[i].OtherTraffic > 1e-9 || r.Load-want[i].Load > 1e-9 {
			t.Errorf("%+v, want %+v", r, want[i])
		}
	}
}

// A sample counts where its member is there and stands where it says, and once.
func TestSamplesCountOnlyFromTheMembersZone(t *testing.T) {
	now := 1000 * time.Hour
	recorder := slo.NewRecorder(slo.DefaultConfig(), "n2", "b", 1)
	contracts := slo.State{Version: 1, Contracts: []slo.Contract{{Name: "gold"}}}
	recorder.SetContracts(contracts)
	recorder.Rotate(now)
	recorder.Record(now, "gold", "a", 20*time.Millisecond)
	over := now + slo.DefaultConfig().SampleInterval
	s := recorder.Rotate(over)
	for name, tt := range map[string]struct {
		at   string
		want int
	}{"known": {"b", 1}, "elsewhere": {"c", 0}, "a stranger": {"", 0}} {
		k := &objectiveKeeper{SLOOptions: SLOOptions{Config: slo.DefaultConfig(), TimeScale: 1, ScaledTime: func(at time.Duration) time.Duration { return at }}, name: "n1",
			aggregator: slo.NewAggregator(slo.DefaultConfig()), controller: slo.NewController(slo.DefaultConfig())}
		members := []zonestatus.Member{{Name: "n2", Zone: tt.at, Alive: true}}
		if tt.at == "" {
			members = nil
		}
		regions := []slo.Region{{Name: "a"}}
		k.closeIntervals(over, contracts, regions, members)
		k.merge(over, *s)
		k.merge(over, *s)
		k.closeIntervals(over+2*slo.DefaultConfig().SampleInterval, contracts, regions, members)
		demand := k.setupRates().byContract
		if len(k.observations) != tt.want || tt.want > 0 && demand["gold"] != 0.2 {
			t.Errorf("%s: %+v, demand %v", name, k.observations, demand)
		}
	}
}
