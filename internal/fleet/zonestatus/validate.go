package zonestatus

import (
	"fmt"
	"slices"
	"time"
)

// Limits on the size of the replicated state and of a controller.
const (
	maxZones     = 64
	maxRampSteps = 16
	maxNameBytes = 64
)

// ConfigError names the invalid key of a configuration and the reason.
type ConfigError struct {
	Key    string // relative to fleet.zones
	Reason string
}

func (e *ConfigError) Error() string { return "fleet.zones." + e.Key + ": " + e.Reason }

func invalid(key, format string, args ...any) error {
	return &ConfigError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a [*ConfigError] for the first invalid key.
func (c Config) Validate() error {
	c = c.withDefaults()
	if err := c.validateZones(); err != nil {
		return err
	}
	if err := c.validateRegions(); err != nil {
		return err
	}
	if err := c.validateDurations(); err != nil {
		return err
	}
	if err := c.validateNumbers(); err != nil {
		return err
	}
	return c.validateRampSteps()
}

func (c Config) validateZones() error {
	if len(c.Zones) > maxZones {
		return invalid("zones", "%d zones, at most %d are allowed", len(c.Zones), maxZones)
	}
	for i, zone := range c.Zones {
		if !isValidName(zone) {
			return invalid("zones", "%.80q is not a valid name", zone)
		}
		if slices.Contains(c.Zones[:i], zone) {
			return invalid("zones", "%q is listed twice", zone)
		}
	}
	return nil
}

func (c Config) validateRegions() error {
	regionByZone := map[string]string{}
	for _, region := range c.regionNames() {
		key := "regions." + region
		if !isValidName(region) || len(c.Regions[region]) == 0 {
			return invalid(key, "a region needs a valid name and at least one zone")
		}
		for _, zone := range c.Regions[region] {
			switch other, assigned := regionByZone[zone]; {
			case !isValidName(zone):
				return invalid(key, "%.80q is not a valid zone name", zone)
			case assigned:
				return invalid(key, "zone %q is in %q already", zone, other)
			case len(c.Zones) > 0 && !slices.Contains(c.Zones, zone):
				return invalid(key, "zone %q is not listed in fleet.zones.zones", zone)
			}
			regionByZone[zone] = region
		}
	}
	return nil
}

func (c Config) validateDurations() error {
	for _, setting := range []struct {
		key               string
		value             time.Duration
		shortest, longest time.Duration
	}{
		{"fresh", c.ReportTTL, 100 * time.Millisecond, time.Minute},
		{"skew", c.MaxClockSkew, 0, 10 * time.Second},
		{"confirm", c.ConfirmInterval, 0, time.Minute},
		{"settle", c.EvacuationTimeout, 0, time.Minute},
		{"steady", c.StableInterval, 100 * time.Millisecond, time.Hour},
		{"gap", c.MinChangeInterval, 100 * time.Millisecond, time.Hour},
		{"hold", c.BaseHoldInterval, 100 * time.Millisecond, time.Hour},
		{"holdMost", c.MaxHoldInterval, c.BaseHoldInterval, 24 * time.Hour},
		{"quiet", c.FailureResetInterval, c.MaxHoldInterval, 240 * time.Hour},
		{"ramp", c.SlowStartInterval, 0, time.Hour},
	} {
		if setting.value < setting.shortest || setting.value > setting.longest {
			return invalid(setting.key, "%v is outside %v to %v", setting.value, setting.shortest, setting.longest)
		}
	}
	return nil
}

func (c Config) validateNumbers() error {
	for _, setting := range []struct {
		key                 string
		value, lower, upper float64
	}{
		{"enough", c.MinAttempts, 0.1, 1e6},
		{"lost", c.UnavailableThreshold, 0.7, 1},
		{"most", c.MaxEvacuatedFraction, 0.01, 0.99},
		{"high", c.MaxUtilization, 0.1, 1},
		{"cold", c.ColdCapacityFraction, 0.01, 1},
		{"multiple", c.ColdOverloadFactor, 0.1, 100},
		{"bears", c.EndpointSetupRate, 0.01, 1e6},
		{"store", c.StoreSetupRate, 0, 1e6},
	} {
		if !(setting.value >= setting.lower && setting.value <= setting.upper) { // also rejects NaN
			return invalid(setting.key, "%v is outside %v to %v", setting.value, setting.lower, setting.upper)
		}
	}
	return nil
}

func (c Config) validateRampSteps() error {
	if len(c.RampSteps) > maxRampSteps {
		return invalid("steps", "%d steps, at most %d are allowed", len(c.RampSteps), maxRampSteps)
	}
	for i, share := range c.RampSteps {
		if !(share > 0 && share <= 1) || i > 0 && share <= c.RampSteps[i-1] {
			return invalid("steps", "shares must rise, from above 0 to 1 at most")
		}
	}
	return nil
}

func isValidName(s string) bool { return s != "" && len(s) <= maxNameBytes }
