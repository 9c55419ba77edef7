package zonestatus

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Config holds the settings of zone evacuation. It must be equal on all members. A zero value
// stands for the default.
type Config struct {
	Regions map[string][]string `json:"regions,omitempty"` // named sets of zones; a zone is in at most one
	Zones   []string            `json:"zones,omitempty"`   // if set, a change may name only these

	// ReportTTL is how long a report remains valid.
	ReportTTL time.Duration `json:"fresh,omitempty"`
	// MaxClockSkew is the largest accepted difference between members' clocks.
	MaxClockSkew time.Duration `json:"skew,omitempty"`
	// ConfirmInterval is how long a failure must be observed before the zone is evacuated. It
	// is doubled while other zones observe the zone as degrading but not yet as unavailable.
	ConfirmInterval time.Duration `json:"confirm,omitempty"`
	// EvacuationTimeout is the time from Evacuating to Evacuated, within which all nodes receive
	// the evacuation.
	EvacuationTimeout time.Duration `json:"settle,omitempty"`
	// StableInterval is how long the evidence must stay good before each step of a recovery.
	StableInterval time.Duration `json:"steady,omitempty"`
	// MinChangeInterval is the minimum time between two changes of the same share.
	MinChangeInterval time.Duration `json:"gap,omitempty"`
	// BaseHoldInterval is how long a zone is held back after its second failure. It doubles
	// with each further failure, up to MaxHoldInterval.
	BaseHoldInterval time.Duration `json:"hold,omitempty"`
	MaxHoldInterval  time.Duration `json:"holdMost,omitempty"`
	// FailureResetInterval is the time without a change after which failure counts are reset.
	FailureResetInterval time.Duration `json:"quiet,omitempty"`
	// SlowStartInterval is the duration of slow start, counted from an endpoint's start.
	SlowStartInterval time.Duration `json:"ramp,omitempty"`

	// MinAttempts is the number of attempts from which on a member's observation is conclusive.
	MinAttempts float64 `json:"enough,omitempty"`
	// UnavailableThreshold is the failing fraction of a zone's endpoints at or above which the
	// zone is unavailable.
	UnavailableThreshold float64 `json:"lost,omitempty"`
	// MaxEvacuatedFraction is the panic threshold: the largest fraction of all zones that one
	// observing zone may evacuate.
	MaxEvacuatedFraction float64 `json:"most,omitempty"`
	// MaxUtilization is the ratio of load to capacity up to which the remaining zones are filled.
	MaxUtilization float64 `json:"high,omitempty"`
	// ColdCapacityFraction is the fraction of its full capacity that an endpoint has at its start.
	ColdCapacityFraction float64 `json:"cold,omitempty"`
	// ColdOverloadFactor is the multiple of its current capacity at which an endpoint that is
	// warming up fails from overload.
	ColdOverloadFactor float64 `json:"multiple,omitempty"`
	// EndpointSetupRate is the number of session set-ups per second that a warm endpoint can handle.
	EndpointSetupRate float64 `json:"bears,omitempty"`
	// StoreSetupRate is the number of session set-ups per second that the session store can
	// handle; 0 means unlimited.
	StoreSetupRate float64 `json:"store,omitempty"`
	// RampSteps are the shares of the steps of a recovery ramp, in ascending order.
	RampSteps []float64 `json:"steps,omitempty"`
}

// DefaultConfig returns the default settings, which docs/notes/zones.md derives.
func DefaultConfig() Config { return Config{}.withDefaults() }

// withDefaults returns c with its zero values replaced by the defaults.
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

// regionNames returns the names of the regions, sorted.
func (c Config) regionNames() []string { return slices.Sorted(maps.Keys(c.Regions)) }

// RegionOf returns the name of the region that a zone belongs to, or "" if there is none.
func (c Config) RegionOf(zone string) string {
	for _, region := range c.regionNames() {
		if slices.Contains(c.Regions[region], zone) {
			return region
		}
	}
	return ""
}

// maxEvacuatedZones returns how many of n zones one observing zone may evacuate, which is less
// than n.
func (c Config) maxEvacuatedZones(n int) int {
	return min(max(1, int(math.Floor(c.MaxEvacuatedFraction*float64(n)+roundingSlack))), n-1)
}

// holdInterval returns how long a zone is held back after a number of failures. It is 0 for the
// first failure.
func (c Config) holdInterval(failures int) time.Duration {
	if failures < 2 {
		return 0
	}
	const maxDoublings = 58 // keeps the power finite; MaxHoldInterval is reached far earlier
	doublings := float64(min(failures-2, maxDoublings))
	return time.Duration(min(float64(c.MaxHoldInterval), float64(c.BaseHoldInterval)*math.Pow(2, doublings)))
}
