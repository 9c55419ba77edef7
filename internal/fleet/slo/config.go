package slo

import (
	"cmp"
	"time"
)

// Config is the same on all members.
type Config struct {
	// SampleInterval is the time whose measurements are reported and merged as one.
	SampleInterval time.Duration
	// EvidenceIntervals is how many of the last intervals are evidence.
	EvidenceIntervals int
	// LateSampleTimeout is how long samples are waited for after an interval's end.
	LateSampleTimeout time.Duration
	// MaxMeasurements is how many pairs of contract and region a sample holds at most.
	MaxMeasurements int
	// ZScore is how many standard deviations a verdict needs.
	ZScore float64
	// MinSamples is how many response times within the evidence make a region measured.
	MinSamples float64
	// MoveInterval is the time between two moves of one contract.
	MoveInterval time.Duration
	// MaxMoveFraction is the fraction of a contract moved in a MoveInterval at most.
	MaxMoveFraction float64
	// MaxInflowFraction is the fraction of a region's capacity moved into it in a MoveInterval.
	MaxInflowFraction float64
	// MaxUtilization is the fraction of a region's capacity up to which contracts are moved in.
	MaxUtilization float64
	// MinBreachInterval is how long a region has to breach an objective before contracts leave.
	MinBreachInterval time.Duration
	// BudgetMargin is the fraction of the allowed misses that a region must have left before
	// contracts are moved there.
	BudgetMargin float64
	// ExploreFraction is the fraction of a contract sent to regions without recent evidence.
	ExploreFraction float64
}

// DefaultConfig returns the values that docs/notes/promises.md derives.
func DefaultConfig() Config {
	return Config{
		SampleInterval:    5 * time.Second,
		EvidenceIntervals: 6,
		LateSampleTimeout: 5 * time.Second,
		MaxMeasurements:   1024,
		ZScore:            2,
		MinSamples:        100,
		MoveInterval:      30 * time.Second,
		MaxMoveFraction:   0.10,
		MaxInflowFraction: 0.05,
		MaxUtilization:    0.85,
		MinBreachInterval: 20 * time.Second,
		BudgetMargin:      0.25,
		ExploreFraction:   0.02,
	}
}

// InvalidKey returns the first invalid key, or "".
func (c Config) InvalidKey() string { return cmp.Or(c.invalidSamplingKey(), c.invalidSteeringKey()) }

func (c Config) invalidSamplingKey() string {
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
	}
	return ""
}

func (c Config) invalidSteeringKey() string {
	isFraction := func(x float64) bool { return x > 0 && x <= 1 }
	switch {
	case c.MoveInterval < minSteerIntervalMs/2*time.Millisecond: // State.Apply accepts no more
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

// interval is the number of the sample interval in which now lies.
func (c Config) interval(now time.Duration) int64 { return int64(now / c.SampleInterval) }

// Guards names the checks that a mutation can switch off, so that a scenario shows that it
// would notice. All false in service.
type Guards struct {
	GradualMoves   bool // move everything to the best region at once
	Confidence     bool // reach a verdict on a few samples
	Hysteresis     bool // need no breach interval, no margin and no spent budget
	ExploreLimit   bool // explore without limit
	CapacityLimits bool // put objectives before capacities
	EvidenceExpiry bool // count evidence for ever
}
