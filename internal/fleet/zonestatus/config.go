package zonestatus

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Config is what all members are given alike. A zero stands for the default.
type Config struct {
	Regions map[string][]string `json:"regions,omitempty"` // named sets of zones; a zone is in one at most
	Zones   []string            `json:"zones,omitempty"`   // where given, the record takes no other

	ReportTTL            time.Duration `json:"fresh,omitempty"`    // a word counts for so long
	MaxClockSkew         time.Duration `json:"skew,omitempty"`     // members' clocks may be so far apart
	ConfirmInterval      time.Duration `json:"confirm,omitempty"`  // a failure must be seen for so long; twice that where others are about to see it
	EvacuationTimeout    time.Duration `json:"settle,omitempty"`   // from Leaving to Left: by then all have heard
	StableInterval       time.Duration `json:"steady,omitempty"`   // good evidence must hold for so long before each step of a return
	MinChangeInterval    time.Duration `json:"gap,omitempty"`      // least time between two changes of one share
	BaseHoldInterval     time.Duration `json:"hold,omitempty"`     // a zone that fails a second time is held so long, then twice as long
	MaxHoldInterval      time.Duration `json:"holdMost,omitempty"` // and never longer than this
	FailureResetInterval time.Duration `json:"quiet,omitempty"`    // then its failures are forgotten
	SlowStartInterval    time.Duration `json:"ramp,omitempty"`     // a cold server is warm after this

	MinAttempts          float64   `json:"enough,omitempty"`   // what a member must have asked before its word counts
	UnavailableThreshold float64   `json:"lost,omitempty"`     // bad share of a zone's servers from which on it serves nobody
	MaxEvacuatedFraction float64   `json:"most,omitempty"`     // share of all zones that one viewpoint may leave at most
	MaxUtilization       float64   `json:"high,omitempty"`     // load over capacity up to which the zones that stay are filled
	ColdCapacityFraction float64   `json:"cold,omitempty"`     // of its capacity that a server can do as it starts
	ColdOverloadFactor   float64   `json:"multiple,omitempty"` // of a cold server's capacity beyond which it falls over
	EndpointSetupRate    float64   `json:"bears,omitempty"`    // set-ups a second that a warm server bears
	StoreSetupRate       float64   `json:"store,omitempty"`    // set-ups a second that the session store bears; 0 sets no bound
	RampSteps            []float64 `json:"steps,omitempty"`    // shares of a return's steps, rising
}

// Default returns the figures that docs/notes/zones.md derives.
func DefaultConfig() Config { return Config{}.withDefaults() }

// full puts defaults in the place of zeros.
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

// mostZones bounds what the record and the decider keep, mostSteps a return.
const maxZones, maxRampSteps = 64, 16

// Check names the first key that can't be worked with.
func (c Config) Validate() error {
	c = c.withDefaults()
	invalid := func(key, reason string) error { return fmt.Errorf("fleet.zones.%s: %s", key, reason) }
	if err := c.validateNames(invalid); err != nil {
		return err
	}
	for _, bound := range []struct {
		key         string
		is          time.Duration
		least, most time.Duration
	}{
		{"fresh", c.ReportTTL, 100 * time.Millisecond, time.Minute}, {"skew", c.MaxClockSkew, 0, 10 * time.Second},
		{"confirm", c.ConfirmInterval, 0, time.Minute}, {"settle", c.EvacuationTimeout, 0, time.Minute},
		{"steady", c.StableInterval, 100 * time.Millisecond, time.Hour}, {"gap", c.MinChangeInterval, 100 * time.Millisecond, time.Hour},
		{"hold", c.BaseHoldInterval, 100 * time.Millisecond, time.Hour}, {"holdMost", c.MaxHoldInterval, c.BaseHoldInterval, 24 * time.Hour},
		{"quiet", c.FailureResetInterval, c.MaxHoldInterval, 240 * time.Hour}, {"ramp", c.SlowStartInterval, 0, time.Hour},
	} {
		if bound.is < bound.least || bound.is > bound.most {
			return invalid(bound.key, fmt.Sprintf("%v is outside %v to %v", bound.is, bound.least, bound.most))
		}
	}
	for _, bound := range []struct {
		key             string
		is, least, most float64
	}{
		{"enough", c.MinAttempts, 0.1, 1e6}, {"lost", c.UnavailableThreshold, 0.7, 1}, {"most", c.MaxEvacuatedFraction, 0.01, 0.99}, {"high", c.MaxUtilization, 0.1, 1},
		{"cold", c.ColdCapacityFraction, 0.01, 1}, {"multiple", c.ColdOverloadFactor, 0.1, 100}, {"bears", c.EndpointSetupRate, 0.01, 1e6}, {"store", c.StoreSetupRate, 0, 1e6},
	} {
		if !(bound.is >= bound.least && bound.is <= bound.most) {
			return invalid(bound.key, fmt.Sprintf("%v is outside %v to %v", bound.is, bound.least, bound.most))
		}
	}
	if len(c.RampSteps) > maxRampSteps {
		return invalid("steps", fmt.Sprintf("%d of them, at most %d are taken", len(c.RampSteps), maxRampSteps))
	}
	for i, share := range c.RampSteps {
		if !(share > 0 && share <= 1) || i > 0 && share <= c.RampSteps[i-1] {
			return invalid("steps", "shares must rise, from above 0 to 1 at most")
		}
	}
	return nil
}

// named checks the names of zones and regions.
func (c Config) validateNames(invalid func(key, reason string) error) error {
	if len(c.Zones) > maxZones {
		return invalid("zones", fmt.Sprintf("%d of them, at most %d are taken", len(c.Zones), maxZones))
	}
	for i, zone := range c.Zones {
		if !isValidName(zone) {
			return invalid("zones", fmt.Sprintf("%.80q is no name", zone))
		}
		if slices.Contains(c.Zones[:i], zone) {
			return invalid("zones", fmt.Sprintf("%q is there twice", zone))
		}
	}
	regionByZone := map[string]string{}
	for _, region := range c.regionNames() {
		key := "regions." + region
		if !isValidName(region) || len(c.Regions[region]) == 0 {
			return invalid(key, "a region has a name and a zone at least")
		}
		for _, zone := range c.Regions[region] {
			switch other, assigned := regionByZone[zone]; {
			case !isValidName(zone):
				return invalid(key, fmt.Sprintf("%.80q is no zone's name", zone))
			case assigned:
				return invalid(key, fmt.Sprintf("zone %q is in %q already", zone, other))
			case len(c.Zones) > 0 && !slices.Contains(c.Zones, zone):
				return invalid(key, fmt.Sprintf("zone %q is none of fleet.zones.zones", zone))
			}
			regionByZone[zone] = region
		}
	}
	return nil
}

func isValidName(s string) bool { return s != "" && len(s) <= 64 }

// regions are the regions' names in order.
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

// most is how many of n zones one viewpoint may leave, and never all.
func (c Config) maxEvacuatedZones(n int) int {
	return min(max(1, int(math.Floor(c.MaxEvacuatedFraction*float64(n)+1e-9))), n-1)
}

// hold is how long a zone that has failed so often stays held; the first time it is not.
func (c Config) holdInterval(failures int) time.Duration {
	if failures < 2 {
		return 0
	}
	return time.Duration(min(float64(c.MaxHoldInterval), float64(c.BaseHoldInterval)*math.Pow(2, float64(min(failures, 60)-2))))
}
