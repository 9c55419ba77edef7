package operatorconfig

import (
	"time"

	"coralrelay/internal/fleet/slo"
)

// SLO configures how the fleet keeps contracts on response times. It must be the same at all
// members.
type SLO struct {
	Enabled  bool     `json:"enabled"`
	Part     Duration `json:"part"`     // one interval of measurement
	Parts    int      `json:"parts"`    // the last so many are evidence
	Late     Duration `json:"late"`     // how long after an interval's end members' samples are awaited
	Cells    int      `json:"cells"`    // pairs of contract and region that a member reports of an interval
	Z        float64  `json:"z"`        // standard deviations that a verdict needs
	Need     float64  `json:"need"`     // samples that make a region measured
	Period   Duration `json:"period"`   // least time between two moves of one contract
	Step     float64  `json:"step"`     // share of a contract that one move takes at most
	Inflow   float64  `json:"inflow"`   // share of a region's capacity that is moved there in one step at most
	Fill     float64  `json:"fill"`     // of a region's capacity up to which contracts are moved there
	Patience Duration `json:"patience"` // a region must miss its objective so long before a contract leaves it
	Margin   float64  `json:"margin"`   // share of the error budget that a region must have left to be moved to
	Explore  float64  `json:"explore"`  // share of a contract that measures regions without recent samples
	Pace     int      `json:"pace"`     // for rehearsals: all these times, and contracts' windows, pass so many times faster
}

func defaultSLO() SLO {
	d := slo.DefaultConfig()
	in := func(t time.Duration) Duration { return Duration{t} }
	return SLO{
		Part:     in(d.SampleInterval),
		Parts:    d.EvidenceIntervals,
		Late:     in(d.LateSampleTimeout),
		Cells:    d.MaxMeasurements,
		Z:        d.ZScore,
		Need:     d.MinSamples,
		Period:   in(d.MoveInterval),
		Step:     d.MaxMoveFraction,
		Inflow:   d.MaxInflowFraction,
		Fill:     d.MaxUtilization,
		Patience: in(d.MinBreachInterval),
		Margin:   d.BudgetMargin,
		Explore:  d.ExploreFraction,
		Pace:     1,
	}
}

// Config returns the configuration for package slo.
func (p *SLO) Config() slo.Config {
	return slo.Config{
		SampleInterval:    p.Part.Duration,
		EvidenceIntervals: p.Parts,
		LateSampleTimeout: p.Late.Duration,
		MaxMeasurements:   p.Cells,
		ZScore:            p.Z,
		MinSamples:        p.Need,
		MoveInterval:      p.Period.Duration,
		MaxMoveFraction:   p.Step,
		MaxInflowFraction: p.Inflow,
		MaxUtilization:    p.Fill,
		MinBreachInterval: p.Patience.Duration,
		BudgetMargin:      p.Margin,
		ExploreFraction:   p.Explore,
	}
}

// scaledTimeOrigin is where a faster clock starts: it has to be the same at all members.
const scaledTimeOrigin = time.Duration(1_767_225_600) * time.Second // 2026-01-01

// Time returns the Unix time that package slo is given in place of unix.
func (p *SLO) Time(unix time.Duration) time.Duration {
	if p.Pace <= 1 {
		return unix
	}
	return scaledTimeOrigin + (unix-scaledTimeOrigin)*time.Duration(p.Pace)
}

// check leaves most bounds to package slo.
func (p *SLO) check(c *checker, l *Fleet) {
	const key = "fleet.promises."
	c.rejectIf(p.Enabled && !l.ReplicatedLog.IsEnabled(), key+"enabled", p.Enabled, "false, as fleet.record has no voters")
	c.rejectIf(p.Pace < 1 || p.Pace > 60, key+"pace", p.Pace, "1 to 60")
	if bad := p.Config().InvalidKey(); bad != "" {
		c.rejectIf(true, key+bad, "a figure that can't be worked with", "what 'coralctl explain fleet.promises."+bad+"' tells")
	}
}
