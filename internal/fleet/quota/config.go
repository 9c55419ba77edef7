package quota

import "time"

// Config sets the limits and time-outs. All members must have the same Config.
type Config struct {
	// Epoch is the length of the window that the budget of a warming endpoint applies to.
	Epoch time.Duration
	// LeaseTimeout is how long a failed member keeps its tokens, and how long a report of demand
	// is valid.
	LeaseTimeout time.Duration
	// ReportTTL is how long a report of outliers or retries is valid.
	ReportTTL time.Duration
	// RetryRatio is the number of retries allowed per first attempt.
	RetryRatio float64
	// MaxOutlierFraction is the maximum fraction of all endpoints that may be outliers.
	MaxOutlierFraction float64
}

const (
	minEpoch      = 10 * time.Millisecond
	maxRetryRatio = 10
)

// InvalidKey returns the settings key of the first invalid value, or "" if all values are valid.
func (c Config) InvalidKey() string {
	switch {
	case c.Epoch < minEpoch:
		return "epoch"
	case c.LeaseTimeout < c.Epoch:
		return "hold"
	case c.ReportTTL <= 0:
		return "fresh"
	case !(c.RetryRatio >= 0 && c.RetryRatio <= maxRetryRatio):
		return "retries"
	case !(c.MaxOutlierFraction >= 0 && c.MaxOutlierFraction <= 1):
		return "shun"
	}
	return ""
}

// Period returns the number, the beginning and the end of the period that contains now. A period is
// half an epoch; even periods are the first of their epoch.
func (c Config) Period(now time.Duration) (period int64, begin, end time.Duration) {
	duration := c.Epoch / 2
	period = int64(now / duration)
	return period, time.Duration(period) * duration, time.Duration(period+1) * duration
}

// Guards selects checks to disable. Mutation runs set a field to verify that a scenario detects the
// missing check; all fields are false in production.
type Guards struct {
	RankedAllocation bool // every member takes the whole budget
	LeaseExpiry      bool // failed members keep their lease forever
	Quorum           bool // one reporter is sufficient
	RetryBudget      bool // retries are unlimited
}
