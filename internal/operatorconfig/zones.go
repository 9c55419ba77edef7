package operatorconfig

import (
	"slices"
	"time"

	"coralrelay/internal/fleet/zonestatus"
)

// Zones configures how the fleet evacuates zones and returns to them. It must be the same at
// all members.
type Zones struct {
	Enabled bool                `json:"enabled"`
	Regions map[string][]string `json:"regions"` // named sets of zones that are evacuated and recovered as one
	Zones   []string            `json:"zones"`   // if given, the log accepts no other

	Fresh    Duration `json:"fresh"`    // a member's report is valid so long
	Skew     Duration `json:"skew"`     // members' clocks may differ by
	Confirm  Duration `json:"confirm"`  // a failure must be seen for so long
	Settle   Duration `json:"settle"`   // longest time from evacuating to evacuated
	Steady   Duration `json:"steady"`   // good evidence must last so long before each step of a recovery
	Gap      Duration `json:"gap"`      // least time between two changes of one share
	Hold     Duration `json:"hold"`     // a zone that fails again is held back so long, then twice as long
	HoldMost Duration `json:"holdMost"` // and never longer than this
	Quiet    Duration `json:"quiet"`    // without a failure for so long, earlier ones are forgotten
	Ramp     Duration `json:"ramp"`     // slow start of an endpoint takes so long

	Enough   float64   `json:"enough"`   // attempts that a member must have made before its report counts
	Lost     float64   `json:"lost"`     // share of bad endpoints from which a zone is unavailable
	Most     float64   `json:"most"`     // share of all zones that are evacuated at most, as observed from one
	High     float64   `json:"high"`     // load over capacity up to which the other zones are filled
	Cold     float64   `json:"cold"`     // share of its capacity that an endpoint has as it starts
	Multiple float64   `json:"multiple"` // multiple of a cold endpoint's capacity beyond which it fails
	Bears    float64   `json:"bears"`    // set-ups a second that a warm endpoint can do
	Store    float64   `json:"store"`    // set-ups a second that the session store can do; 0 for no bound
	Steps    []float64 `json:"steps"`    // shares of the steps of a recovery, rising
}

func defaultZones() Zones {
	d := zonestatus.DefaultConfig()
	in := func(t time.Duration) Duration { return Duration{t} }
	return Zones{
		Regions:  map[string][]string{},
		Zones:    []string{},
		Fresh:    in(d.ReportTTL),
		Skew:     in(d.MaxClockSkew),
		Confirm:  in(d.ConfirmInterval),
		Settle:   in(d.EvacuationTimeout),
		Steady:   in(d.StableInterval),
		Gap:      in(d.MinChangeInterval),
		Hold:     in(d.BaseHoldInterval),
		HoldMost: in(d.MaxHoldInterval),
		Quiet:    in(d.FailureResetInterval),
		Ramp:     in(d.SlowStartInterval),
		Enough:   d.MinAttempts,
		Lost:     d.UnavailableThreshold,
		Most:     d.MaxEvacuatedFraction,
		High:     d.MaxUtilization,
		Cold:     d.ColdCapacityFraction,
		Multiple: d.ColdOverloadFactor,
		Bears:    d.EndpointSetupRate,
		Store:    d.StoreSetupRate,
		Steps:    d.RampSteps,
	}
}

// Config returns the configuration for package zonestatus.
func (z *Zones) Config() zonestatus.Config {
	return zonestatus.Config{
		Regions:              z.Regions,
		Zones:                z.Zones,
		ReportTTL:            z.Fresh.Duration,
		MaxClockSkew:         z.Skew.Duration,
		ConfirmInterval:      z.Confirm.Duration,
		EvacuationTimeout:    z.Settle.Duration,
		StableInterval:       z.Steady.Duration,
		MinChangeInterval:    z.Gap.Duration,
		BaseHoldInterval:     z.Hold.Duration,
		MaxHoldInterval:      z.HoldMost.Duration,
		FailureResetInterval: z.Quiet.Duration,
		SlowStartInterval:    z.Ramp.Duration,
		MinAttempts:          z.Enough,
		UnavailableThreshold: z.Lost,
		MaxEvacuatedFraction: z.Most,
		MaxUtilization:       z.High,
		ColdCapacityFraction: z.Cold,
		ColdOverloadFactor:   z.Multiple,
		EndpointSetupRate:    z.Bears,
		StoreSetupRate:       z.Store,
		RampSteps:            z.Steps,
	}
}

// check leaves the bounds of numbers to package zonestatus.
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
