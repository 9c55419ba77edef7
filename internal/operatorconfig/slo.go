package operatorconfig

import (
	"time"

	"coralrelay/internal/fleet/slo"
)

// SLO configures how the fleet enforces contracts on response times. It must be the same on all
// members.
type SLO struct {
	Enabled           bool     `json:"enabled"`
	SampleInterval    Duration `json:"part"`     // interval that is reported and evaluated as one
	EvidenceIntervals int      `json:"parts"`    // number of recent intervals that are evidence
	LateSampleTimeout Duration `json:"late"`     // how long samples are awaited after an interval
	MaxMeasurements   int      `json:"cells"`    // pairs of contract and region in a report
	ZScore            float64  `json:"z"`        // standard deviations that a verdict requires
	MinSamples        float64  `json:"need"`     // samples from which a region counts as measured
	MoveInterval      Duration `json:"period"`   // minimum time between two moves of a contract
	MaxMoveFraction   float64  `json:"step"`     // maximum share of a contract per MoveInterval
	MaxInflowFraction float64  `json:"inflow"`   // maximum share of capacity that moves in per MoveInterval
	MaxUtilization    float64  `json:"fill"`     // share of capacity up to which contracts move in
	MinBreachInterval Duration `json:"patience"` // duration of a breach before contracts move away
	BudgetMargin      float64  `json:"margin"`   // error budget that a region must have left to move in
	ExploreFraction   float64  `json:"explore"`  // share of a contract to regions without recent samples
	TimeScale         int      `json:"pace"`     // for rehearsals: speed-up of all times and windows
}

func defaultSLO() SLO {
	defaults := slo.DefaultConfig()
	toDuration := func(t time.Duration) Duration { return Duration{t} }
	return SLO{
		SampleInterval:    toDuration(defaults.SampleInterval),
		EvidenceIntervals: defaults.EvidenceIntervals,
		LateSampleTimeout: toDuration(defaults.LateSampleTimeout),
		MaxMeasurements:   defaults.MaxMeasurements,
		ZScore:            defaults.ZScore,
		MinSamples:        defaults.MinSamples,
		MoveInterval:      toDuration(defaults.MoveInterval),
		MaxMoveFraction:   defaults.MaxMoveFraction,
		MaxInflowFraction: defaults.MaxInflowFraction,
		MaxUtilization:    defaults.MaxUtilization,
		MinBreachInterval: toDuration(defaults.MinBreachInterval),
		BudgetMargin:      defaults.BudgetMargin,
		ExploreFraction:   defaults.ExploreFraction,
		TimeScale:         1,
	}
}

// Config returns the configuration for package slo.
func (s *SLO) Config() slo.Config {
	return slo.Config{
		SampleInterval:    s.SampleInterval.Duration,
		EvidenceIntervals: s.EvidenceIntervals,
		LateSampleTimeout: s.LateSampleTimeout.Duration,
		MaxMeasurements:   s.MaxMeasurements,
		ZScore:            s.ZScore,
		MinSamples:        s.MinSamples,
		MoveInterval:      s.MoveInterval.Duration,
		MaxMoveFraction:   s.MaxMoveFraction,
		MaxInflowFraction: s.MaxInflowFraction,
		MaxUtilization:    s.MaxUtilization,
		MinBreachInterval: s.MinBreachInterval.Duration,
		BudgetMargin:      s.BudgetMargin,
		ExploreFraction:   s.ExploreFraction,
	}
}

// scaledTimeOrigin is the start of the scaled clock. It must be the same on all members.
const scaledTimeOrigin = time.Duration(1_767_225_600) * time.Second // 2026-01-01

// ScaledTime returns the Unix time for package slo at the given Unix time. With a TimeScale
// above 1 it runs faster.
func (s *SLO) ScaledTime(unix time.Duration) time.Duration {
	if s.TimeScale <= 1 {
		return unix
	}
	return scaledTimeOrigin + (unix-scaledTimeOrigin)*time.Duration(s.TimeScale)
}

// check delegates most bounds to package slo.
func (s *SLO) check(c *checker, fleet *Fleet) {
	const key = "fleet.promises."
	c.rejectIf(s.Enabled && !fleet.ReplicatedLog.IsEnabled(), key+"enabled", s.Enabled,
		"false, as fleet.record has no voters")
	c.rejectIf(s.TimeScale < 1 || s.TimeScale > 60, key+"pace", s.TimeScale, "1 to 60")
	if invalidKey := s.Config().InvalidKey(); invalidKey != "" {
		c.rejectIf(true, key+invalidKey, "an invalid value",
			"the values that 'coralctl explain fleet.promises."+invalidKey+"' describes")
	}
}
