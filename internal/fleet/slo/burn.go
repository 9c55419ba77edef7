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
func (t *contractState) closeWindow(c *Config, slot int64) {
	parts := int64((t.contract.Window + c.SampleInterval - 1) / c.SampleInterval)
	window := slot / parts
	if window <= t.window {
		return
	}
	if t.count > 0 {
		t.history <<= 1
		if t.missed > (1-t.contract.Quantile)*t.count {
			t.history |= 1
		}
		t.recordedWindows = min(t.recordedWindows+1, longBurnWindows)
	}
	t.window, t.count, t.missed = window, 0, 0
}

// burn is how many times faster than allowed the budget of broken windows was spent in the
// last span windows; 1 spends it exactly.
func (t *contractState) burnRate(span int) float64 {
	n := min(span, t.recordedWindows)
	if n == 0 {
		return 0
	}
	mask := ^uint64(0) >> (64 - n)
	return float64(bits.OnesCount64(t.history&mask)) / float64(n) / (1 - t.contract.Target)
}

// burning tells whether the contract is about to be broken if it stays as it is.
func (t *contractState) isBurning() bool {
	return t.burnRate(shortBurnWindows) >= 1 && t.burnRate(longBurnWindows) >= 1
}

// healthy tells whether half of the budget is left, over a span that means something.
func (t *contractState) hasHalfBudget() bool {
	return t.recordedWindows >= shortBurnWindows && t.burnRate(shortBurnWindows) < 0.5 && t.burnRate(longBurnWindows) < 0.5
}
