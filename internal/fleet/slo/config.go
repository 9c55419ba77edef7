package slo

import "time"

// Config is what all members are given alike.
type Config struct {
	SampleInterval    time.Duration // of time: what is measured in it is told and merged as one
	EvidenceIntervals int           // that are evidence, the last ones
	LateSampleTimeout time.Duration // after a part's end its samples are still waited for
	MaxMeasurements   int           // pairs of contract and region that a member tells of a part at most
	ZScore            float64       // standard deviations that a verdict needs
	MinSamples        float64       // samples within the evidence that make a region measured
	MoveInterval      time.Duration // between two steps of one contract
	MaxMoveFraction   float64       // of a contract that is moved in a period at most
	MaxInflowFraction float64       // of what a region bears that is moved there in a period at most
	MaxUtilization    float64       // of what a region bears up to which contracts are moved there
	MinBreachInterval time.Duration // a region has to break a promise for so long before anyone leaves
	BudgetMargin      float64       // of the allowed misses that a region must leave free to be moved to
	ExploreFraction   float64       // of a contract that measures where nobody has of late
}

// Default returns the figures that the note derives.
func DefaultConfig() Config {
	return Config{SampleInterval: 5 * time.Second, EvidenceIntervals: 6, LateSampleTimeout: 5 * time.Second, MaxMeasurements: 1024, ZScore: 2, MinSamples: 100,
		MoveInterval: 30 * time.Second, MaxMoveFraction: 0.10, MaxInflowFraction: 0.05, MaxUtilization: 0.85, MinBreachInterval: 20 * time.Second, BudgetMargin: 0.25, ExploreFraction: 0.02}
}

// Check names the first key that can't be worked with.
func (c Config) InvalidKey() string {
	isFraction := func(x float64) bool { return x > 0 && x <= 1 }
	switch {
	case c.SampleInterval < time.Second || c.SampleInterval > time.Minute:
		return "part"
	case c.EvidenceIntervals < 1 || c.EvidenceIntervals > 60:
		return "parts"
	case c.LateSampleTimeout < 0 || c.LateSampleTimeout > 2*c.SampleInterval:
		return "late"
	case c.MaxMeasurements < 1 || c.MaxMeasurements > maxMeasurementsLimit:
		return "cells"
	case !(c.ZScore >= 0.5 && c.ZScore <= 6):
		return "z"
	case !(c.MinSamples >= 1 && c.MinSamples <= 1e6):
		return "need"
	case c.MoveInterval < minSteerIntervalMs/2*time.Millisecond: // the record takes no more steps
		return "period"
	case !isFraction(c.MaxMoveFraction):
		return "step"
	case !isFraction(c.MaxInflowFraction):
		return "inflow"
	case !isFraction(c.MaxUtilization):
		return "fill"
	case c.MinBreachInterval < 0:
		return "patience"
	case !(c.BudgetMargin >= 0 && c.BudgetMargin < 1):
		return "margin"
	case !(c.ExploreFraction >= 0 && c.ExploreFraction <= 0.02):
		return "explore"
	}
	return ""
}

// slot is the number of the part of time in which now lies.
func (c Config) interval(now time.Duration) int64 { return int64(now / c.SampleInterval) }

// Guards can be taken out one by one, so that a rig can show that its checks see it.
type Guards struct {
	GradualMoves   bool // go to the best region at once, with all there is
	Confidence     bool // a few samples are a verdict
	Hysteresis     bool // no patience, no margin, no budget asked
	ExploreLimit   bool // explore without bound
	CapacityLimits bool // promises before what a region bears
	EvidenceExpiry bool // evidence counts for ever
}
