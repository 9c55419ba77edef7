package slo

import "time"

// Config is what all members are given alike.
type Config struct {
	Part     time.Duration // of time: what is measured in it is told and merged as one
	Parts    int           // that are evidence, the last ones
	Late     time.Duration // after a part's end its samples are still waited for
	Cells    int           // pairs of contract and region that a member tells of a part at most
	Z        float64       // standard deviations that a verdict needs
	Need     float64       // samples within the evidence that make a region measured
	Period   time.Duration // between two steps of one contract
	Step     float64       // of a contract that is moved in a period at most
	Inflow   float64       // of what a region bears that is moved there in a period at most
	Fill     float64       // of what a region bears up to which contracts are moved there
	Patience time.Duration // a region has to break a promise for so long before anyone leaves
	Margin   float64       // of the allowed misses that a region must leave free to be moved to
	Explore  float64       // of a contract that measures where nobody has of late
}

// Default returns the figures that the note derives.
func Default() Config {
	return Config{Part: 5 * time.Second, Parts: 6, Late: 5 * time.Second, Cells: 1024, Z: 2, Need: 100,
		Period: 30 * time.Second, Step: 0.10, Inflow: 0.05, Fill: 0.85, Patience: 20 * time.Second, Margin: 0.25, Explore: 0.02}
}

// Check names the first key that can't be worked with.
func (c Config) Check() string {
	share := func(x float64) bool { return x > 0 && x <= 1 }
	switch {
	case c.Part < time.Second || c.Part > time.Minute:
		return "part"
	case c.Parts < 1 || c.Parts > 60:
		return "parts"
	case c.Late < 0 || c.Late > 2*c.Part:
		return "late"
	case c.Cells < 1 || c.Cells > mostCells:
		return "cells"
	case !(c.Z >= 0.5 && c.Z <= 6):
		return "z"
	case !(c.Need >= 1 && c.Need <= 1e6):
		return "need"
	case c.Period < spell/2*time.Millisecond: // the record takes no more steps
		return "period"
	case !share(c.Step):
		return "step"
	case !share(c.Inflow):
		return "inflow"
	case !share(c.Fill):
		return "fill"
	case c.Patience < 0:
		return "patience"
	case !(c.Margin >= 0 && c.Margin < 1):
		return "margin"
	case !(c.Explore >= 0 && c.Explore <= 0.02):
		return "explore"
	}
	return ""
}

// slot is the number of the part of time in which now lies.
func (c Config) slot(now time.Duration) int64 { return int64(now / c.Part) }

// Guards can be taken out one by one, so that a rig can show that its checks see it.
type Guards struct {
	Greedy     bool // go to the best region at once, with all there is
	Confidence bool // a few samples are a verdict
	Hysteresis bool // no patience, no margin, no budget asked
	Explore    bool // explore without bound
	Limits     bool // promises before what a region bears
	Stale      bool // evidence counts for ever
}
