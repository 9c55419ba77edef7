package slo

import (
	"math/bits"
	"time"
)

// The two spans over which a budget's burn is reckoned, in windows of the contract: the
// long one tells that it matters, the short one that it still goes on (Google's SRE
// workbook, chapter 5).
const (
	shortBurnWindows = 8
	longBurnWindows  = 64 // the bits of a history
)

// track is what is kept of one contract.
type contractState struct {
	contract        Contract
	regions         map[string]intervalRing
	breachedSince   map[string]time.Duration // since when a region breaks the promise
	window          int64                    // the number of the contract's window under way
	count, missed   float64                  // in it
	history         uint64                   // of windows that are over, the last one lowest: 1 for broken
	recordedWindows int                      // that it holds
	unmetSince      time.Duration
}

// turn closes the window under way if it is over at slot. It is broken if it was measured
// to be: that is the promise's own term. Confidence is asked of regions, before anyone is
// moved; a window in which nobody measured counts as none.
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

// burn is how many times faster than allowed the budget of broken windows was spent in the
// last span windows; 1 spends it exactly.
func (s *contractState) burnRate(windows int) float64 {
	recorded := min(windows, s.recordedWindows)
	if recorded == 0 {
		return 0
	}
	mask := ^uint64(0) >> (64 - recorded)
	return float64(bits.OnesCount64(s.history&mask)) / float64(recorded) / (1 - s.contract.Target)
}

// burning tells whether the contract is about to be broken if it stays as it is.
func (s *contractState) isBurning() bool {
	return s.burnRate(shortBurnWindows) >= 1 && s.burnRate(longBurnWindows) >= 1
}

// healthy tells whether half of the budget is left, over a span that means something.
func (s *contractState) hasHalfBudget() bool {
	return s.recordedWindows >= shortBurnWindows && s.burnRate(shortBurnWindows) < 0.5 && s.burnRate(longBurnWindows) < 0.5
}
