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

	Fresh    time.Duration `json:"fresh,omitempty"`    // a word counts for so long
	Skew     time.Duration `json:"skew,omitempty"`     // members' clocks may be so far apart
	Confirm  time.Duration `json:"confirm,omitempty"`  // a failure must be seen for so long; twice that where others are about to see it
	Settle   time.Duration `json:"settle,omitempty"`   // from Leaving to Left: by then all have heard
	Steady   time.Duration `json:"steady,omitempty"`   // good evidence must hold for so long before each step of a return
	Gap      time.Duration `json:"gap,omitempty"`      // least time between two changes of one share
	Hold     time.Duration `json:"hold,omitempty"`     // a zone that fails a second time is held so long, then twice as long
	HoldMost time.Duration `json:"holdMost,omitempty"` // and never longer than this
	Quiet    time.Duration `json:"quiet,omitempty"`    // then its failures are forgotten
	Ramp     time.Duration `json:"ramp,omitempty"`     // a cold server is warm after this

	Enough   float64   `json:"enough,omitempty"`   // what a member must have asked before its word counts
	Lost     float64   `json:"lost,omitempty"`     // bad share of a zone's servers from which on it serves nobody
	Most     float64   `json:"most,omitempty"`     // share of all zones that one viewpoint may leave at most
	High     float64   `json:"high,omitempty"`     // load over capacity up to which the zones that stay are filled
	Cold     float64   `json:"cold,omitempty"`     // of its capacity that a server can do as it starts
	Multiple float64   `json:"multiple,omitempty"` // of a cold server's capacity beyond which it falls over
	Bears    float64   `json:"bears,omitempty"`    // set-ups a second that a warm server bears
	Store    float64   `json:"store,omitempty"`    // set-ups a second that the session store bears; 0 sets no bound
	Steps    []float64 `json:"steps,omitempty"`    // shares of a return's steps, rising
}

// Default returns the figures that docs/notes/zones.md derives.
func Default() Config { return Config{}.full() }

// full puts defaults in the place of zeros.
func (c Config) full() Config {
	c.Fresh = cmp.Or(c.Fresh, time.Second)
	c.Skew = cmp.Or(c.Skew, 200*time.Millisecond)
	c.Confirm = cmp.Or(c.Confirm, 200*time.Millisecond)
	c.Settle = cmp.Or(c.Settle, 500*time.Millisecond)
	c.Steady = cmp.Or(c.Steady, 2*time.Second)
	c.Gap = cmp.Or(c.Gap, 5*time.Second)
	c.Hold = cmp.Or(c.Hold, 5*time.Second)
	c.HoldMost = cmp.Or(c.HoldMost, 5*time.Minute)
	c.Quiet = cmp.Or(c.Quiet, 10*time.Minute)
	c.Ramp = cmp.Or(c.Ramp, 10*time.Second)
	c.Enough = cmp.Or(c.Enough, 2)
	c.Lost = cmp.Or(c.Lost, 0.9)
	c.Most = cmp.Or(c.Most, 0.7)
	c.High = cmp.Or(c.High, 0.85)
	c.Cold = cmp.Or(c.Cold, 0.3)
	c.Multiple = cmp.Or(c.Multiple, 3)
	c.Bears = cmp.Or(c.Bears, 10)
	if len(c.Steps) == 0 {
		c.Steps = []float64{0.05, 0.15, 0.35, 0.7}
	}
	return c
}

// mostZones bounds what the record and the decider keep, mostSteps a return.
const mostZones, mostSteps = 64, 16

// Check names the first key that can't be worked with.
func (c Config) Check() error {
	c = c.full()
	bad := func(key, why string) error { return fmt.Errorf("fleet.zones.%s: %s", key, why) }
	if err := c.named(bad); err != nil {
		return err
	}
	for _, t := range []struct {
		key         string
		is          time.Duration
		least, most time.Duration
	}{
		{"fresh", c.Fresh, 100 * time.Millisecond, time.Minute}, {"skew", c.Skew, 0, 10 * time.Second},
		{"confirm", c.Confirm, 0, time.Minute}, {"settle", c.Settle, 0, time.Minute},
		{"steady", c.Steady, 100 * time.Millisecond, time.Hour}, {"gap", c.Gap, 100 * time.Millisecond, time.Hour},
		{"hold", c.Hold, 100 * time.Millisecond, time.Hour}, {"holdMost", c.HoldMost, c.Hold, 24 * time.Hour},
		{"quiet", c.Quiet, c.HoldMost, 240 * time.Hour}, {"ramp", c.Ramp, 0, time.Hour},
	} {
		if t.is < t.least || t.is > t.most {
			return bad(t.key, fmt.Sprintf("%v is outside %v to %v", t.is, t.least, t.most))
		}
	}
	for _, t := range []struct {
		key             string
		is, least, most float64
	}{
		{"enough", c.Enough, 0.1, 1e6}, {"lost", c.Lost, 0.7, 1}, {"most", c.Most, 0.01, 0.99}, {"high", c.High, 0.1, 1},
		{"cold", c.Cold, 0.01, 1}, {"multiple", c.Multiple, 0.1, 100}, {"bears", c.Bears, 0.01, 1e6}, {"store", c.Store, 0, 1e6},
	} {
		if !(t.is >= t.least && t.is <= t.most) {
			return bad(t.key, fmt.Sprintf("%v is outside %v to %v", t.is, t.least, t.most))
		}
	}
	if len(c.Steps) > mostSteps {
		return bad("steps", fmt.Sprintf("%d of them, at most %d are taken", len(c.Steps), mostSteps))
	}
	for i, share := range c.Steps {
		if !(share > 0 && share <= 1) || i > 0 && share <= c.Steps[i-1] {
			return bad("steps", "shares must rise, from above 0 to 1 at most")
		}
	}
	return nil
}

// named checks the names of zones and regions.
func (c Config) named(bad func(key, why string) error) error {
	if len(c.Zones) > mostZones {
		return bad("zones", fmt.Sprintf("%d of them, at most %d are taken", len(c.Zones), mostZones))
	}
	for i, z := range c.Zones {
		if !isName(z) {
			return bad("zones", fmt.Sprintf("%.80q is no name", z))
		}
		if slices.Contains(c.Zones[:i], z) {
			return bad("zones", fmt.Sprintf("%q is there twice", z))
		}
	}
	in := map[string]string{}
	for _, region := range c.regions() {
		key := "regions." + region
		if !isName(region) || len(c.Regions[region]) == 0 {
			return bad(key, "a region has a name and a zone at least")
		}
		for _, z := range c.Regions[region] {
			switch other, twice := in[z]; {
			case !isName(z):
				return bad(key, fmt.Sprintf("%.80q is no zone's name", z))
			case twice:
				return bad(key, fmt.Sprintf("zone %q is in %q already", z, other))
			case len(c.Zones) > 0 && !slices.Contains(c.Zones, z):
				return bad(key, fmt.Sprintf("zone %q is none of fleet.zones.zones", z))
			}
			in[z] = region
		}
	}
	return nil
}

func isName(s string) bool { return s != "" && len(s) <= 64 }

// regions are the regions' names in order.
func (c Config) regions() []string { return slices.Sorted(maps.Keys(c.Regions)) }

// RegionOf returns the region that a zone belongs to, or "".
func (c Config) RegionOf(zone string) string {
	for _, region := range c.regions() {
		if slices.Contains(c.Regions[region], zone) {
			return region
		}
	}
	return ""
}

// most is how many of n zones one viewpoint may leave, and never all.
func (c Config) most(n int) int {
	return min(max(1, int(math.Floor(c.Most*float64(n)+1e-9))), n-1)
}

// hold is how long a zone that has failed so often stays held; the first time it is not.
func (c Config) hold(fails int) time.Duration {
	if fails < 2 {
		return 0
	}
	return time.Duration(min(float64(c.HoldMost), float64(c.Hold)*math.Pow(2, float64(min(fails, 60)-2))))
}
