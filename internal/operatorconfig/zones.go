package operatorconfig

import (
	"slices"
	"time"

	"coralrelay/internal/fleet/zonestatus"
)

// Zones configures how the fleet evacuates zones and recovers them. It must be the same on all
// members.
type Zones struct {
	Enabled bool                `json:"enabled"`
	Regions map[string][]string `json:"regions"` // sets of zones that are evacuated and recovered together
	Zones   []string            `json:"zones"`   // if set, the replicated log accepts no others

	ReportTTL            Duration `json:"fresh"`    // validity period of a member's report
	MaxClockSkew         Duration `json:"skew"`     // maximum difference between members' clocks
	ConfirmInterval      Duration `json:"confirm"`  // how long a failure must be observed
	EvacuationTimeout    Duration `json:"settle"`   // time from evacuating to evacuated
	StableInterval       Duration `json:"steady"`   // duration of good evidence before each recovery step
	MinChangeInterval    Duration `json:"gap"`      // minimum time between two changes of a share
	BaseHoldInterval     Duration `json:"hold"`     // hold-back of a zone that fails again; doubles each time
	MaxHoldInterval      Duration `json:"holdMost"` // upper bound of the hold-back
	FailureResetInterval Duration `json:"quiet"`    // failures are forgotten after this time without a change
	SlowStartInterval    Duration `json:"ramp"`     // duration of the slow start of an endpoint

	MinAttempts          float64   `json:"enough"`   // attempts a member needs before its report counts
	UnavailableThreshold float64   `json:"lost"`     // share of bad endpoints that makes a zone unavailable
	MaxEvacuatedFraction float64   `json:"most"`     // maximum share of zones evacuated, as observed from one
	MaxUtilization       float64   `json:"high"`     // load over capacity up to which other zones are filled
	ColdCapacityFraction float64   `json:"cold"`     // share of its capacity that a cold endpoint has
	ColdOverloadFactor   float64   `json:"multiple"` // multiple of its cold capacity at which it fails
	EndpointSetupRate    float64   `json:"bears"`    // session set-ups per second of a warm endpoint
	StoreSetupRate       float64   `json:"store"`    // the same for the session store; 0 for no limit
	RampSteps            []float64 `json:"steps"`    // increasing shares of the steps of a recovery
}

func defaultZones() Zones {
	defaults := zonestatus.DefaultConfig()
	toDuration := func(t time.Duration) Duration { return Duration{t} }
	return Zones{
		Regions:              map[string][]string{},
		Zones:                []string{},
		ReportTTL:            toDuration(defaults.ReportTTL),
		MaxClockSkew:         toDuration(defaults.MaxClockSkew),
		ConfirmInterval:      toDuration(defaults.ConfirmInterval),
		EvacuationTimeout:    toDuration(defaults.EvacuationTimeout),
		StableInterval:       toDuration(defaults.StableInterval),
		MinChangeInterval:    toDuration(defaults.MinChangeInterval),
		BaseHoldInterval:     toDuration(defaults.BaseHoldInterval),
		MaxHoldInterval:      toDuration(defaults.MaxHoldInterval),
		FailureResetInterval: toDuration(defaults.FailureResetInterval),
		SlowStartInterval:    toDuration(defaults.SlowStartInterval),
		MinAttempts:          defaults.MinAttempts,
		UnavailableThreshold: defaults.UnavailableThreshold,
		MaxEvacuatedFraction: defaults.MaxEvacuatedFraction,
		MaxUtilization:       defaults.MaxUtilization,
		ColdCapacityFraction: defaults.ColdCapacityFraction,
		ColdOverloadFactor:   defaults.ColdOverloadFactor,
		EndpointSetupRate:    defaults.EndpointSetupRate,
		StoreSetupRate:       defaults.StoreSetupRate,
		RampSteps:            defaults.RampSteps,
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

// check delegates the bounds of numbers to package zonestatus.
func (z *Zones) check(c *checker, fleet *Fleet) {
	c.rejectIf(z.Enabled && !fleet.ReplicatedLog.IsEnabled(), "fleet.zones.enabled", z.Enabled,
		"false, as fleet.record has no voters")
	if err := z.Config().Validate(); err != nil {
		c.errs = append(c.errs, err)
	}
	checkNames := func(key string, zones []string) {
		for _, zone := range zones {
			c.rejectIf(!isWord(zone, maxZoneNameBytes), key, zone, "zones of 1 to 24 bytes without blanks")
		}
	}
	checkNames("fleet.zones.zones", z.Zones)
	for region, zones := range z.Regions {
		checkNames("fleet.zones.regions."+region, zones)
	}
	c.rejectIf(z.Enabled && len(z.Zones) > 0 && !slices.Contains(z.Zones, fleet.Zone), "fleet.zone",
		fleet.Zone, "one of fleet.zones.zones")
}
