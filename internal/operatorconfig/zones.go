package operatorconfig

import (
	"slices"
	"time"

	"coralrelay/internal/fleet/zonestatus"
)

// Zones is how the fleet leaves zones and returns to them. All members have it alike.
type Zones struct {
	Enabled bool                `json:"enabled"`
	Regions map[string][]string `json:"regions"` // named sets of zones, that are left and returned to as one
	Zones   []string            `json:"zones"`   // where given, the record takes no other

	Fresh    Duration `json:"fresh"`    // a member's word counts for so long
	Skew     Duration `json:"skew"`     // members' clocks may be so far apart
	Confirm  Duration `json:"confirm"`  // a failure must be seen for so long
	Settle   Duration `json:"settle"`   // from leaving to left
	Steady   Duration `json:"steady"`   // good evidence holds for so long before each step of a return
	Gap      Duration `json:"gap"`      // least time between two changes of one share
	Hold     Duration `json:"hold"`     // a zone that fails again is held so long, then twice as long
	HoldMost Duration `json:"holdMost"` // and never longer than this
	Quiet    Duration `json:"quiet"`    // then its failures are forgotten
	Ramp     Duration `json:"ramp"`     // a cold next hop is warm after this

	Enough   float64   `json:"enough"`   // what a member must have asked before its word counts
	Lost     float64   `json:"lost"`     // bad share of its next hops from which on a zone serves nobody
	Most     float64   `json:"most"`     // share of all zones that are left at most, as seen from one
	High     float64   `json:"high"`     // load over capacity up to which the zones that stay are filled
	Cold     float64   `json:"cold"`     // of its capacity that a next hop can do as it starts
	Multiple float64   `json:"multiple"` // of a cold next hop's capacity beyond which it falls over
	Bears    float64   `json:"bears"`    // set-ups a second that a warm next hop bears
	Store    float64   `json:"store"`    // set-ups a second that the session store bears; 0 for no bound
	Steps    []float64 `json:"steps"`    // shares of a return's steps, rising
}

func defaultZones() Zones {
	d := zonestatus.DefaultConfig()
	in := func(t time.Duration) Duration { return Duration{t} }
	return Zones{Regions: map[string][]string{}, Zones: []string{}, Fresh: in(d.ReportTTL), Skew: in(d.MaxClockSkew), Confirm: in(d.ConfirmInterval),
		Settle: in(d.EvacuationTimeout), Steady: in(d.StableInterval), Gap: in(d.MinChangeInterval), Hold: in(d.BaseHoldInterval), HoldMost: in(d.MaxHoldInterval), Quiet: in(d.FailureResetInterval),
		Ramp: in(d.SlowStartInterval), Enough: d.MinAttempts, Lost: d.UnavailableThreshold, Most: d.MaxEvacuatedFraction, High: d.MaxUtilization, Cold: d.ColdCapacityFraction, Multiple: d.ColdOverloadFactor,
		Bears: d.EndpointSetupRate, Store: d.StoreSetupRate, Steps: d.RampSteps}
}

// Config is what package zone takes.
func (z *Zones) Config() zonestatus.Config {
	return zonestatus.Config{Regions: z.Regions, Zones: z.Zones, ReportTTL: z.Fresh.Duration, MaxClockSkew: z.Skew.Duration, ConfirmInterval: z.Confirm.Duration,
		EvacuationTimeout: z.Settle.Duration, StableInterval: z.Steady.Duration, MinChangeInterval: z.Gap.Duration, BaseHoldInterval: z.Hold.Duration, MaxHoldInterval: z.HoldMost.Duration,
		FailureResetInterval: z.Quiet.Duration, SlowStartInterval: z.Ramp.Duration, MinAttempts: z.Enough, UnavailableThreshold: z.Lost, MaxEvacuatedFraction: z.Most, MaxUtilization: z.High, ColdCapacityFraction: z.Cold,
		ColdOverloadFactor: z.Multiple, EndpointSetupRate: z.Bears, StoreSetupRate: z.Store, RampSteps: z.Steps}
}

// check leaves the figures' bounds to package zone.
func (z *Zones) check(c *checker, l *Fleet) {
	c.rejectIf(z.Enabled && !l.ReplicatedLog.IsEnabled(), "fleet.zones.enabled", z.Enabled, "false, as fleet.record has no voters")
	if err := z.Config().Validate(); err != nil {
		c.errs = append(c.errs, err)
	}
	named := func(key string, zones []string) {
		for _, zone := range zones {
			c.rejectIf(!isWord(zone, maxZoneNameBytes), key, zone, "zones of 1 to 24 bytes without blanks")
		}
	}
	named("fleet.zones.zones", z.Zones)
	for region, zones := range z.Regions {
		named("fleet.zones.regions."+region, zones)
	}
	c.rejectIf(z.Enabled && len(z.Zones) > 0 && !slices.Contains(z.Zones, l.Zone), "fleet.zone", l.Zone, "one of fleet.zones.zones")
}
