package operatorconfig

import (
	"time"

	"coralrelay/internal/fleet/slo"
)

// SLO configures how the fleet keeps contracts on response times. It must be the same at all
// members.
type SLO struct {
	Enabled           bool     `json:"enabled"`
	SampleInterval    Duration `json:"part"`     // one interval of measurement
	EvidenceIntervals int      `json:"parts"`    // the last so many are evidence
	LateSampleTimeout Duration `json:"late"`     // how long after an interval's end members' samples are awaited
	MaxMeasurements   int      `json:"cells"`    // pairs of contract and region that a member reports of an interval
	ZScore            float64  `json:"z"`        // standard deviations that a verdict needs
	MinSamples        float64  `json:"need"`     // samples that make a region measured
	MoveInterval      Duration `json:"period"`   // least time between two moves of one contract
	MaxMoveFraction   float64  `json:"step"`     // share of a contract that one move takes at most
	MaxInflowFraction float64  `json:"inflow"`   // share of a region's capacity that is moved there in one step at most
	MaxUtilization    float64  `json:"fill"`     // of a region's capacity up to which contracts are moved there
	MinBreachInterval Duration `json:"patience"` // a region must miss its objective so long before a contract leaves it
	BudgetMargin      float64  `json:"margin"`   // share of the error budget that a region must have left to be moved to
	ExploreFraction   float64  `json:"explore"`  // share of a contract that measures regions without recent samples
	TimeScale         int      `json:"pace"`     // for rehearsals: all these times, and contracts' windows, pass so many times faster
}

func defaultSLO() SLO {
	d := slo.DefaultConfig()
	in := func(t time.Duration) Duration { return Duration{t} }
	return SLO{
		SampleInterval:    in(d.SampleInterval),
		EvidenceIntervals: d.EvidenceIntervals,
		LateSampleTimeout: in(d.LateSampleTimeout),
		MaxMeasurements:   d.MaxMeasurements,
		ZScore:            d.ZScore,
		MinSamples:        d.MinSamples,
		MoveInterval:      in(d.MoveInterval),
		MaxMoveFraction:   d.MaxMoveFraction,
		MaxInflowFraction: d.MaxInflowFraction,
		MaxUtilization:    d.MaxUtilization,
		MinBreachInterval: in(d.MinBreachInterval),
		BudgetMargin:      d.BudgetMargin,
		ExploreFraction:   d.ExploreFraction,
		TimeScale:         1,
	}
}

// Config returns the configuration for package slo.
func (p *SLO) Config() slo.Config {
	return slo.Config{
		SampleInterval:    p.SampleInterval.Duration,
		EvidenceIntervals: p.EvidenceIntervals,
		LateSampleTimeout: p.LateSampleTimeout.Duration,
		MaxMeasurements:   p.MaxMeasurements,
		ZScore:            p.ZScore,
		MinSamples:        p.MinSamples,
		MoveInterval:      p.MoveInterval.Duration,
		MaxMoveFraction:   p.MaxMoveFraction,
		MaxInflowFraction: p.MaxInflowFraction,
		MaxUtilization:    p.MaxUtilization,
		MinBreachInterval: p.MinBreachInterval.Duration,
		BudgetMargin:      p.BudgetMargin,
		ExploreFraction:   p.ExploreFraction,
	}
}

// scaledTimeOrigin is where a faster clock starts: it has to be the same at all members.
const scaledTimeOrigin = time.Duration(1_767_225_600) * time.Second // 2026-01-01

// ScaledTime returns the Unix time that package slo is given in place of unix.
func (p *SLO) ScaledTime(unix time.Duration) time.Duration {
	if p.TimeScale <= 1 {
		return unix
	}
	return scaledTimeOrigin + (unix-scaledTimeOrigin)*time.Duration(p.TimeScale)
}

// check leaves most bounds to package slo.
func (p *SLO) check(c *checker, l *Fleet) {
	const key = "fleet.promises."
	c.rejectIf(p.Enabled && !l.ReplicatedLog.IsEnabled(), key+"enabled", p.Enabled, "false, as fleet.record has no voters")
	c.rejectIf(p.TimeScale < 1 || p.TimeScale > 60, key+"pace", p.TimeScale, "1 to 60")
	if bad := p.Config().InvalidKey(); bad != "" {
		c.rejectIf(true, key+bad, "a figure that can't be worked with", "what 'coralctl explain fleet.promises."+bad+"' tells")
	}
}
