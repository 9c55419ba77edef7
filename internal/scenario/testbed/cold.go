package testbed

import "time"

// Chance is what a window may be over its budget: starts and ends of tokens are seen on two
// clocks' schedules, and a send counts when it arrives.
const ChanceAllowance = 1.1

// budget is how many connections a server may be sent within a window, so long after its
// start. A warm one can take what fills it: its usual share makes the usual load.
func (w *Testbed) budget(age time.Duration) float64 {
	return coldTimes * w.warm(age) * w.Rate / float64(w.Options.Servers) / UsualLoad * w.BudgetWindow.Seconds()
}

// Against returns the most that a server that began cold was sent in any window, as a
// multiple of what it may be sent, and its mean over the time.
func (w *Testbed) BudgetUse(server string, started, until time.Time) (most, mean float64) {
	var at []time.Time
	for _, l := range w.FirstLines(started, until) {
		if l.Server == server {
			at = append(at, l.At)
		}
	}
	first := 0
	for i, t := range at {
		if t.Sub(started) > w.Ramp {
			break
		}
		for t.Sub(at[first]) > w.BudgetWindow {
			first++
		}
		most = max(most, float64(i-first+1)/w.budget(t.Sub(started)))
	}
	if span := until.Sub(started); span > 0 {
		mean = float64(len(at)) / (span.Seconds() / w.BudgetWindow.Seconds()) / w.budget(span/2)
	}
	return most, mean
}

// Dealt returns the most that a cold server was sent within one epoch, as a multiple of what
// its members' parts come to: half of its budget, and a token of the fraction.
func (w *Testbed) EpochBudgetUse(server string, started time.Time) (most float64) {
	count := map[int64]float64{}
	for _, l := range w.FirstLines(started, started.Add(w.Ramp)) {
		if l.Server == server {
			count[l.At.UnixNano()/int64(w.BudgetWindow)]++
		}
	}
	for epoch, n := range count {
		end := time.Unix(0, (epoch+1)*int64(w.BudgetWindow)).Sub(started)
		most = max(most, n/(w.budget(end)/2+1))
	}
	return most
}
