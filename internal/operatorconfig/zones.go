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

	ReportTTL            Duration `json:"fresh"`    // a member's report is valid so long
	MaxClockSkew         Duration `json:"skew"`     // members' clocks may differ by
	ConfirmInterval      Duration `json:"confirm"`  // a failure must be seen for so long
	EvacuationTimeout    Duration `json:"settle"`   // longest time from evacuating to evacuated
	StableInterval       Duration `json:"steady"`   // good evidence must last so long before each step of a recovery
	MinChangeInterval    Duration `json:"gap"`      // least time between two changes of one share
	BaseHoldInterval     Duration `json:"hold"`     // a zone that fails again is held back so long, then twice as long
	MaxHoldInterval      Duration `json:"holdMost"` // and never longer than this
	FailureResetInterval Duration `json:"quiet"`    // without a failure for so long, earlier ones are forgotten
	SlowStartInterval    Duration `json:"ramp"`     // slow start of an endpoint takes so long

	MinAttempts          float64   `json:"enough"`   // attempts that a member must have made before its report counts
	UnavailableThreshold float64   `json:"lost"`     // share of bad endpoints from which a zone is unavailable
	MaxEvacuatedFraction float64   `json:"most"`     // share of all zones that are evacuated at most, as observed from one
	MaxUtilization       float64   `json:"high"`     // load over capacity up to which the other zones are filled
	ColdCapacityFraction float64   `json:"cold"`     // share of its capacity that an endpoint has as it starts
	ColdOverloadFactor   float64   `json:"multiple"` // multiple of a cold endpoint's capacity beyond which it fails
	EndpointSetupRate    float64   `json:"bears"`    // set-ups a second that a warm endpoint can do
	StoreSetupRate       float64   `json:"store"`    // set-ups a second that the session store can do; 0 for no bound
	RampSteps            []float64 `json:"steps"`    // shares of the steps of a recovery, rising
}

func defaultZones() Zones {
	d := zonestatus.DefaultConfig()
	in := func(t time.Duration) Duration { return Duration{t} }
	return Zones{
		Regions:              map[string][]string{},
		Zones:                []string{},
		ReportTTL:            in(d.ReportTTL),
		MaxClockSkew:         in(d.MaxClockSkew),
		ConfirmInterval:      in(d.ConfirmInterval),
		EvacuationTimeout:    in(d.EvacuationTimeout),
		StableInterval:       in(d.StableInterval),
		MinChangeInterval:    in(d.MinChangeInterval),
		BaseHoldInterval:     in(d.BaseHoldInterval),
		MaxHoldInterval:      in(d.MaxHoldInterval),
		FailureResetInterval: in(d.FailureResetInterval),
		SlowStartInterval:    in(d.SlowStartInterval),
		MinAttempts:          d.MinAttempts,
		UnavailableThreshold: d.UnavailableThreshold,
		MaxEvacuatedFraction: d.MaxEvacuatedFraction,
		MaxUtilization:       d.MaxUtilization,
		ColdCapacityFraction: d.ColdCapacityFraction,
		ColdOverloadFactor:   d.ColdOverloadFactor,
		EndpointSetupRate:    d.EndpointSetupRate,
		StoreSetupRate:       d.StoreSetupRate,
		RampSteps:            d.RampSteps,
	}
}

// Config returns the configuration for package zonestatus.
func (z *Zones) Config() zonestatus.Config {
	return zonestatus.Config{
		Regions:              z.Regions,
		Zones:                z.Zones,
		ReportTTL:            z.ReportTTL.Duration,
		MaxClockSkew:         z.MaxClockSkew.Duration,
		ConfirmInterval:      z.ConfirmInterval.Duration,
		EvacuationTimeout:    z.EvacuationTimeout.Duration,
		StableInterval:       z.StableInterval.Duration,
		MinChangeInterval:    z.MinChangeInterval.Duration,
		BaseHoldInterval:     z.BaseHoldInterval.Duration,
		MaxHoldInterval:      z.MaxHoldInterval.Duration,
		FailureResetInterval: z.FailureResetInterval.Duration,
		SlowStartInterval:    z.SlowStartInterval.Duration,
		MinAttempts:          z.MinAttempts,
		UnavailableThreshold: z.UnavailableThreshold,
		MaxEvacuatedFraction: z.MaxEvacuatedFraction,
		MaxUtilization:       z.MaxUtilization,
		ColdCapacityFraction: z.ColdCapacityFraction,
		ColdOverloadFactor:   z.ColdOverloadFactor,
		EndpointSetupRate:    z.EndpointSetupRate,
		StoreSetupRate:       z.StoreSetupRate,
		RampSteps:            z.RampSteps,
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
