package operatorconfig

import (
	"time"

	"coralrelay/internal/fleet/slo"
)

// Promises is how the fleet keeps contracts on response times. All members have it alike.
type SLO struct {
	Enabled  bool     `json:"enabled"`
	Part     Duration `json:"part"`     // of time: what is measured in it is told and judged as one
	Parts    int      `json:"parts"`    // that are evidence, the last ones
	Late     Duration `json:"late"`     // after a part's end members' samples are still waited for
	Cells    int      `json:"cells"`    // pairs of contract and region that a member tells of a part
	Z        float64  `json:"z"`        // standard deviations that a verdict needs
	Need     float64  `json:"need"`     // times that make a region measured
	Period   Duration `json:"period"`   // between two steps of one contract
	Step     float64  `json:"step"`     // of a contract that is moved in a period at most
	Inflow   float64  `json:"inflow"`   // of what a region bears that is moved there in a period at most
	Fill     float64  `json:"fill"`     // of what a region bears up to which contracts are moved there
	Patience Duration `json:"patience"` // a region has to break a promise for so long before anyone leaves
	Margin   float64  `json:"margin"`   // of the allowed misses that a region must leave free to be moved to
	Explore  float64  `json:"explore"`  // of a contract that measures where nobody has of late
	Pace     int      `json:"pace"`     // for rehearsals: all these times, and contracts' windows, pass so many times faster
}

func defaultSLO() SLO {
	d := slo.DefaultConfig()
	in := func(t time.Duration) Duration { return Duration{t} }
	return SLO{Part: in(d.SampleInterval), Parts: d.EvidenceIntervals, Late: in(d.LateSampleTimeout), Cells: d.MaxMeasurements, Z: d.ZScore, Need: d.MinSamples, Period: in(d.MoveInterval),
		Step: d.MaxMoveFraction, Inflow: d.MaxInflowFraction, Fill: d.MaxUtilization, Patience: in(d.MinBreachInterval), Margin: d.BudgetMargin, Explore: d.ExploreFraction, Pace: 1}
}

// Config is what package promise takes.
func (p *SLO) Config() slo.Config {
	return slo.Config{SampleInterval: p.Part.Duration, EvidenceIntervals: p.Parts, LateSampleTimeout: p.Late.Duration, MaxMeasurements: p.Cells, ZScore: p.Z, MinSamples: p.Need,
		MoveInterval: p.Period.Duration, MaxMoveFraction: p.Step, MaxInflowFraction: p.Inflow, MaxUtilization: p.Fill, MinBreachInterval: p.Patience.Duration, BudgetMargin: p.Margin, ExploreFraction: p.Explore}
}

// paced is from where a faster clock runs: it has to be the same at all members.
const scaledTimeOrigin = time.Duration(1_767_225_600) * time.Second // 2026-01-01

// Time is what promises take a Unix time for.
func (p *SLO) Time(unix time.Duration) time.Duration {
	if p.Pace <= 1 {
		return unix
	}
	return scaledTimeOrigin + (unix-scaledTimeOrigin)*time.Duration(p.Pace)
}

// check leaves most of the figures' bounds to package promise.
func (p *SLO) check(c *checker, l *Fleet) {
	const key = "fleet.promises."
	c.rejectIf(p.Enabled && !l.ReplicatedLog.IsEnabled(), key+"enabled", p.Enabled, "false, as fleet.record has no voters")
	c.rejectIf(p.Pace < 1 || p.Pace > 60, key+"pace", p.Pace, "1 to 60")
	if bad := p.Config().InvalidKey(); bad != "" {
		c.rejectIf(true, key+bad, "a figure that can't be worked with", "what 'coralctl explain fleet.promises."+bad+"' tells")
	}
}
