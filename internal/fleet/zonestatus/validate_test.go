package zonestatus

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

func TestValidateNamesInvalidKey(t *testing.T) {
	for key, cfg := range map[string]Config{
		"":                           {},
		"fleet.zones.fresh":          {ReportTTL: time.Millisecond},
		"fleet.zones.holdMost":       {BaseHoldInterval: time.Minute, MaxHoldInterval: time.Second},
		"fleet.zones.quiet":          {FailureResetInterval: time.Second},
		"fleet.zones.most":           {MaxEvacuatedFraction: 1},
		"fleet.zones.steps":          {RampSteps: []float64{0.5, 0.2}},
		"fleet.zones.zones":          {Zones: []string{"a", "a"}},
		"fleet.zones.regions.y":      {Regions: map[string][]string{"x": {"a"}, "y": {"a"}}},
		"fleet.zones.regions.x":      {Regions: map[string][]string{"x": {"b"}}, Zones: []string{"a"}},
		"fleet.zones.cold: NaN":      {ColdCapacityFraction: math.NaN()},
		"fleet.zones.bears: -1":      {EndpointSetupRate: -1},
		"fleet.zones.regions.: a re": {Regions: map[string][]string{"": {"a"}}},
	} {
		err := cfg.Validate()
		if (key == "") != (err == nil) || err != nil && !strings.HasPrefix(err.Error(), key) {
			t.Errorf("%q: %v", key, err)
		}
		if invalid := new(ConfigError); err != nil && !errors.As(err, &invalid) {
			t.Errorf("%q: %T is not a ConfigError", key, err)
		}
	}
}
