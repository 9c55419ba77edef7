package slo

import (
	"math/bits"
	"time"
)

// The two spans over which the burn rate of an error budget is computed, in windows of the
// contract: the long one shows that it matters, the short one that it still goes on (The Site
// Reliability Workbook, chapter 5).
const (
	shortBurnWindows = 8
	longBurnWindows  = 64 // the bits of a history

	// healthyBurnRate leaves half of the error budget.
	healthyBurnRate = 0.5
)

// contractState is what a controller knows of one contract.
type contractState struct {
	contract        Contract
	regions         map[string]intervalRing
	breachedSince   map[string]time.Duration // by region that breaches the objective
	window          int64                    // number of the contract's current window
	count, missed   float64                  // response times in it, and those above the objective
	history         uint64                   // of past windows, the last one lowest: 1 for a breach
	recordedWindows int                      // in history
	unmetSince      time.Duration            // 0 while the objective can be met
}

// closeWindow closes the current window if it is over in an interval. It is a breach if it was
// measured to be one: these are the contract's own terms. Confidence is needed for regions,
// before sessions are moved. A window without measurements does not count.
func (s *contractState) closeWindow(cfg *Config, interval int64) {
	intervalsPerWindow := int64((s.contract.Window + cfg.SampleInterval - 1) / cfg.SampleInterval)
	window := interval / intervalsPerWindow
	if window <= s.window {
		return
	}
	if s.count > 0 {
		s.history <<= 1
		if s.missed > (1-s.contract.Quantile)*s.count {
			s.history |= 1
		}
		s.recordedWindows = min(s.recordedWindows+1, longBurnWindows)
	}
	s.window, s.count, s.missed = window, 0, 0
}

// burnRate is how many times faster than allowed the error budget was spent in the last
// windows; 1 spends it exactly.
func (s *contractState) burnRate(windows int) float64 {
	recorded := min(windows, s.recordedWindows)
	if recorded == 0 {
		return 0
	}
	mask := ^uint64(0) >> (64 - recorded)
	return float64(bits.OnesCount64(s.history&mask)) / float64(recorded) / (1 - s.contract.Target)
}

// isBurning reports whether the target will be missed if nothing changes.
func (s *contractState) isBurning() bool {
	return s.burnRate(shortBurnWindows) >= 1 && s.burnRate(longBurnWindows) >= 1
}

// hasHalfBudget reports whether half of the error budget is left, on enough windows to tell.
func (s *contractState) hasHalfBudget() bool {
	return s.recordedWindows >= shortBurnWindows &&
		s.burnRate(shortBurnWindows) < healthyBurnRate &&
		s.burnRate(longBurnWindows) < healthyBurnRate
}
