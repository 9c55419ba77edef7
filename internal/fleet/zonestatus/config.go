package zonestatus

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Config is the same on all members. A zero stands for the default.
type Config struct {
	Regions map[string][]string `json:"regions,omitempty"` // named sets of zones; a zone is in one at most
	Zones   []string            `json:"zones,omitempty"`   // if given, changes may name no other

	// ReportTTL is how long a report counts.
	ReportTTL time.Duration `json:"fresh,omitempty"`
	// MaxClockSkew is how far members' clocks may be apart.
	MaxClockSkew time.Duration `json:"skew,omitempty"`
	// ConfirmInterval is how long a failure must be observed before the zone is evacuated;
	// twice that while other zones see it degrade too.
	ConfirmInterval time.Duration `json:"confirm,omitempty"`
	// EvacuationTimeout is the time from Evacuating to Evacuated: by then all nodes know.
	EvacuationTimeout time.Duration `json:"settle,omitempty"`
	// StableInterval is how long good evidence must hold before each step of a recovery.
	StableInterval time.Duration `json:"steady,omitempty"`
	// MinChangeInterval is the least time between two changes of one share.
	MinChangeInterval time.Duration `json:"gap,omitempty"`
	// BaseHoldInterval is how long a zone is held back that fails a second time; it doubles
	// with each further failure up to MaxHoldInterval.
	BaseHoldInterval time.Duration `json:"hold,omitempty"`
	MaxHoldInterval  time.Duration `json:"holdMost,omitempty"`
	// FailureResetInterval is the time without a change after which failures are forgotten.
	FailureResetInterval time.Duration `json:"quiet,omitempty"`
	// SlowStartInterval is how long a started endpoint is warming up.
	SlowStartInterval time.Duration `json:"ramp,omitempty"`

	// MinAttempts is how many attempts a member needs before its observation is conclusive.
	MinAttempts float64 `json:"enough,omitempty"`
	// UnavailableThreshold is the failing fraction of a zone's endpoints from which on it is
	// unavailable.
	UnavailableThreshold float64 `json:"lost,omitempty"`
	// MaxEvacuatedFraction is the panic threshold: the fraction of all zones that one
	// observing zone may evacuate at most.
	MaxEvacuatedFraction float64 `json:"most,omitempty"`
	// MaxUtilization is the load over capacity up to which the remaining zones are filled.
	MaxUtilization float64 `json:"high,omitempty"`
	// ColdCapacityFraction is the fraction of its capacity that an endpoint has as it starts.
	ColdCapacityFraction float64 `json:"cold,omitempty"`
	// ColdOverloadFactor is the multiple of its present capacity at which an endpoint that is
	// warming up falls over.
	ColdOverloadFactor float64 `json:"multiple,omitempty"`
	// EndpointSetupRate is how many session set-ups a second a warm endpoint can take.
	EndpointSetupRate float64 `json:"bears,omitempty"`
	// StoreSetupRate is how many the session store can take; 0 is unlimited.
	StoreSetupRate float64 `json:"store,omitempty"`
	// RampSteps are the shares of a recovery's steps, rising.
	RampSteps []float64 `json:"steps,omitempty"`
}

// DefaultConfig returns the values that docs/notes/zones.md derives.
func DefaultConfig() Config { return Config{}.withDefaults() }

// withDefaults puts defaults in the place of zeros.
func (c Config) withDefaults() Config {
	c.ReportTTL = cmp.Or(c.ReportTTL, time.Second)
	c.MaxClockSkew = cmp.Or(c.MaxClockSkew, 200*time.Millisecond)
	c.ConfirmInterval = cmp.Or(c.ConfirmInterval, 200*time.Millisecond)
	c.EvacuationTimeout = cmp.Or(c.EvacuationTimeout, 500*time.Millisecond)
	c.StableInterval = cmp.Or(c.StableInterval, 2*time.Second)
	c.MinChangeInterval = cmp.Or(c.MinChangeInterval, 5*time.Second)
	c.BaseHoldInterval = cmp.Or(c.BaseHoldInterval, 5*time.Second)
	c.MaxHoldInterval = cmp.Or(c.MaxHoldInterval, 5*time.Minute)
	c.FailureResetInterval = cmp.Or(c.FailureResetInterval, 10*time.Minute)
	c.SlowStartInterval = cmp.Or(c.SlowStartInterval, 10*time.Second)
	c.MinAttempts = cmp.Or(c.MinAttempts, 2)
	c.UnavailableThreshold = cmp.Or(c.UnavailableThreshold, 0.9)
	c.MaxEvacuatedFraction = cmp.Or(c.MaxEvacuatedFraction, 0.7)
	c.MaxUtilization = cmp.Or(c.MaxUtilization, 0.85)
	c.ColdCapacityFraction = cmp.Or(c.ColdCapacityFraction, 0.3)
	c.ColdOverloadFactor = cmp.Or(c.ColdOverloadFactor, 3)
	c.EndpointSetupRate = cmp.Or(c.EndpointSetupRate, 10)
	if len(c.RampSteps) == 0 {
		c.RampSteps = []float64{0.05, 0.15, 0.35, 0.7}
	}
	return c
}

// regionNames returns the regions' names in order.
func (c Config) regionNames() []string { return slices.Sorted(maps.Keys(c.Regions)) }

// RegionOf returns the region that a zone belongs to, or "".
func (c Config) RegionOf(zone string) string {
	for _, region := range c.regionNames() {
		if slices.Contains(c.Regions[region], zone) {
			return region
		}
	}
	return ""
}

// maxEvacuatedZones is how many of n zones one observing zone may evacuate: never all.
func (c Config) maxEvacuatedZones(n int) int {
	return min(max(1, int(math.Floor(c.MaxEvacuatedFraction*float64(n)+roundingSlack))), n-1)
}

// holdInterval is how long a zone with so many failures is held back: not at all the first time.
func (c Config) holdInterval(failures int) time.Duration {
	if failures < 2 {
		return 0
	}
	const maxDoublings = 58 // keeps the power finite; MaxHoldInterval is reached long before
	doublings := float64(min(failures-2, maxDoublings))
	return time.Duration(min(float64(c.MaxHoldInterval), float64(c.BaseHoldInterval)*math.Pow(2, doublings)))
}
