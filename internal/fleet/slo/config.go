package slo

import (
	"cmp"
	"time"
)

// Config holds the settings of objective steering. It must be equal on all members.
type Config struct {
	// SampleInterval is the period whose measurements are reported and merged together.
	SampleInterval time.Duration
	// EvidenceIntervals is the number of latest merged intervals that are used as evidence.
	EvidenceIntervals int
	// LateSampleTimeout is how long samples are accepted after the end of their interval.
	LateSampleTimeout time.Duration
	// MaxMeasurements is the maximum number of pairs of contract and region in a sample.
	MaxMeasurements int
	// ZScore is the confidence that a verdict needs, in standard deviations.
	ZScore float64
	// MinSamples is the number of response times in the evidence from which on a region counts as
	// measured.
	MinSamples float64
	// MoveInterval is the minimum time between two moves of the same contract.
	MoveInterval time.Duration
	// MaxMoveFraction is the largest fraction of a contract that is moved in a MoveInterval.
	MaxMoveFraction float64
	// MaxInflowFraction is the largest rate that is moved into a region in a MoveInterval, as a
	// fraction of the region's capacity.
	MaxInflowFraction float64
	// MaxUtilization is the fraction of a region's capacity up to which contracts are moved into it.
	MaxUtilization float64
	// MinBreachInterval is how long a region must breach an objective before contracts are moved out
	// of it.
	MinBreachInterval time.Duration
	// BudgetMargin is the fraction of the allowed misses that must be unused in a region before
	// contracts are moved into it.
	BudgetMargin float64
	// ExploreFraction is the fraction of a contract that is sent to a region without recent
	// evidence.
	ExploreFraction float64
}

// DefaultConfig returns the default settings, which docs/notes/promises.md derives.
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

// InvalidKey returns the first invalid settings key, or "" if all are valid.
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
	case c.MoveInterval < minSteerIntervalMs/2*time.Millisecond: // State.Apply rejects more frequent moves
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

// interval returns the number of the sample interval that contains now.
func (c Config) interval(now time.Duration) int64 { return int64(now / c.SampleInterval) }

// Guards selects checks to disable. Mutations set them, so that a scenario can show that it
// detects the missing check. All are false in production.
type Guards struct {
	GradualMoves   bool // move each contract to its best region at once
	Confidence     bool // accept a verdict on few samples
	Hysteresis     bool // move without a breach interval, a margin or a spent error budget
	ExploreLimit   bool // explore without limits
	CapacityLimits bool // ignore the regions' capacities
	EvidenceExpiry bool // use evidence of any age
}
