package testbed

import "time"

// BudgetTolerance is the multiple of its budget that a server may be sent in a window. It exceeds 1
// because the start and end of budget tokens are timed on two clocks, and because a session is
// counted when it arrives at the server.
const BudgetTolerance = 1.1

// windowBudget returns how many sessions a server of the given age may be sent within a budget
// window. The capacity of a warm server follows from UsualLoad: its usual share of the usual rate
// loads it to that level.
func (bed *Testbed) windowBudget(age time.Duration) float64 {
	usualRate := bed.Rate / float64(bed.Options.Servers)
	return budgetMultiple * bed.warmShare(age) * usualRate / UsualLoad * bed.BudgetWindow.Seconds()
}

// BudgetUse returns how many sessions a server that started cold was sent, as multiples of its
// budget: the peak over all windows of its ramp, and the mean over the time from started to until.
func (bed *Testbed) BudgetUse(server string, started, until time.Time) (peak, mean float64) {
	var arrivals []time.Time
	for _, line := range bed.FirstLines(started, until) {
		if line.Server == server {
			arrivals = append(arrivals, line.At)
		}
	}
	first := 0 // index of the first arrival in the window that ends with the current arrival
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

// EpochBudgetUse returns the maximum number of sessions that a cold server was sent within one epoch,
// as a multiple of the sum of the members' quotas: half of the server's budget, plus one token for
// the fraction.
func (bed *Testbed) EpochBudgetUse(server string, started time.Time) (peak float64) {
	window := int64(bed.BudgetWindow)
	count := map[int64]float64{} // by epoch
	for _, line := range bed.FirstLines(started, started.Add(bed.Ramp)) {
		if line.Server == server {
			count[line.At.UnixNano()/window]++
		}
	}
	for epoch, sent := range count {
		age := time.Unix(0, (epoch+1)*window).Sub(started) // at the end of the epoch
		peak = max(peak, sent/(bed.windowBudget(age)/2+1))
	}
	return peak
}
