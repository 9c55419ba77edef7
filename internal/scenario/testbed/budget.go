package testbed

import "time"

// BudgetTolerance is the multiple of its budget that a window may have: starts and ends of
// tokens are seen on two clocks' schedules, and a session counts when it arrives.
const BudgetTolerance = 1.1

// windowBudget returns how many sessions a server may be sent within a window, so long after its
// start. A warm one can take what fills it: its usual share makes the usual load.
func (bed *Testbed) windowBudget(age time.Duration) float64 {
	usualRate := bed.Rate / float64(bed.Options.Servers)
	return budgetMultiple * bed.warmShare(age) * usualRate / UsualLoad * bed.BudgetWindow.Seconds()
}

// BudgetUse returns the most that a server that began cold was sent in any window of its ramp,
// as a multiple of its budget, and the mean over the time.
func (bed *Testbed) BudgetUse(server string, started, until time.Time) (peak, mean float64) {
	var arrivals []time.Time
	for _, line := range bed.FirstLines(started, until) {
		if line.Server == server {
			arrivals = append(arrivals, line.At)
		}
	}
	first := 0 // of the window that ends with an arrival
	for i, arrival := range arrivals {
		age := arrival.Sub(started)
		if age > bed.Ramp {
			break
		}
		for arrival.Sub(arrivals[first]) > bed.BudgetWindow {
			first++
		}
		peak = max(peak, float64(i-first+1)/bed.windowBudget(age))
	}
	if span := until.Sub(started); span > 0 {
		windows := span.Seconds() / bed.BudgetWindow.Seconds()
		mean = float64(len(arrivals)) / windows / bed.windowBudget(span/2)
	}
	return peak, mean
}

// EpochBudgetUse returns the most that a cold server was sent within one epoch, as a multiple of
// what its members' quotas come to: half of its budget, and a token of the fraction.
func (bed *Testbed) EpochBudgetUse(server string, started time.Time) (peak float64) {
	window := int64(bed.BudgetWindow)
	count := map[int64]float64{} // by epoch
	for _, line := range bed.FirstLines(started, started.Add(bed.Ramp)) {
		if line.Server == server {
			count[line.At.UnixNano()/window]++
		}
	}
	for epoch, sent := range count {
		age := time.Unix(0, (epoch+1)*window).Sub(started) // at the epoch's end
		peak = max(peak, sent/(bed.windowBudget(age)/2+1))
	}
	return peak
}
