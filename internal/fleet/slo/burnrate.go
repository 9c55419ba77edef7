package slo

import (
	"math/bits"
	"time"
)

// The burn rate of an error budget is computed over two spans, in windows of the contract. The long
// span shows that the breach is significant, the short one that it is still going on (The Site
// Reliability Workbook, chapter 5).
const (
	shortBurnWindows = 8
	longBurnWindows  = 64 // the number of bits in a history

	// healthyBurnRate is the burn rate that leaves half of the error budget.
	healthyBurnRate = 0.5
)

// contractState is the evidence that a controller keeps for one contract.
type contractState struct {
	contract        Contract
	regions         map[string]intervalRing
	breachedSince   map[string]time.Duration // by region; only regions that breach the objective
	window          int64                    // number of the current window
	count, missed   float64                  // response times in the window, and those above the objective
	history         uint64                   // past windows, the latest in the lowest bit; 1 is a breach
	recordedWindows int                      // number of valid bits in history
	unmetSince      time.Duration            // 0 while the objective can be met
}

// closeWindow closes the current window if interval lies after it. The window is a breach if the
// measured quantile misses the objective, as the contract defines it. Statistical confidence is
// required only for regions, before sessions are moved. A window without measurements is not
// recorded.
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

// burnRate returns how many times faster than allowed the error budget was spent in the last
// windows. A rate of 1 spends the budget exactly.
func (s *contractState) burnRate(windows int) float64 {
	recorded := min(windows, s.recordedWindows)
	if recorded == 0 {
		return 0
	}
	mask := ^uint64(0) >> (64 - recorded)
	return float64(bits.OnesCount64(s.history&mask)) / float64(recorded) / (1 - s.contract.Target)
}

// isBurning reports whether the target will be missed at the burn rate of both spans.
func (s *contractState) isBurning() bool {
	return s.burnRate(shortBurnWindows) >= 1 && s.burnRate(longBurnWindows) >= 1
}

// hasHalfBudget reports whether more than half of the error budget is left over both spans. It needs
// at least shortBurnWindows recorded windows.
func (s *contractState) hasHalfBudget() bool {
	return s.recordedWindows >= shortBurnWindows &&
		s.burnRate(shortBurnWindows) < healthyBurnRate &&
		s.burnRate(longBurnWindows) < healthyBurnRate
}
