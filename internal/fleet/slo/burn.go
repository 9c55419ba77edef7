package slo

import (
	"math/bits"
	"time"
)

// The two spans over which a budget's burn is reckoned, in windows of the contract: the
// long one tells that it matters, the short one that it still goes on (Google's SRE
// workbook, chapter 5).
const (
	shortSpan = 8
	longSpan  = 64 // the bits of a history
)

// track is what is kept of one contract.
type track struct {
	contract  Contract
	regions   map[string]ring
	broken    map[string]time.Duration // since when a region breaks the promise
	window    int64                    // the number of the contract's window under way
	all, over float64                  // in it
	history   uint64                   // of windows that are over, the last one lowest: 1 for broken
	windows   int                      // that it holds
	stuck     time.Duration
}

// turn closes the window under way if it is over at slot. It is broken if it was measured
// to be: that is the promise's own term. Confidence is asked of regions, before anyone is
// moved; a window in which nobody measured counts as none.
func (t *track) turn(c *Config, slot int64) {
	parts := int64((t.contract.Window + c.SampleInterval - 1) / c.SampleInterval)
	window := slot / parts
	if window <= t.window {
		return
	}
	if t.all > 0 {
		t.history <<= 1
		if t.over > (1-t.contract.Quantile)*t.all {
			t.history |= 1
		}
		t.windows = min(t.windows+1, longSpan)
	}
	t.window, t.all, t.over = window, 0, 0
}

// burn is how many times faster than allowed the budget of broken windows was spent in the
// last span windows; 1 spends it exactly.
func (t *track) burn(span int) float64 {
	n := min(span, t.windows)
	if n == 0 {
		return 0
	}
	mask := ^uint64(0) >> (64 - n)
	return float64(bits.OnesCount64(t.history&mask)) / float64(n) / (1 - t.contract.Target)
}

// burning tells whether the contract is about to be broken if it stays as it is.
func (t *track) burning() bool { return t.burn(shortSpan) >= 1 && t.burn(longSpan) >= 1 }

// healthy tells whether half of the budget is left, over a span that means something.
func (t *track) healthy() bool {
	return t.windows >= shortSpan && t.burn(shortSpan) < 0.5 && t.burn(longSpan) < 0.5
}
