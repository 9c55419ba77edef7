package quota

import "time"

// Config is the same on all members.
type Config struct {
	// Epoch is the window for which a warming endpoint's budget is allocated.
	Epoch time.Duration
	// LeaseTimeout is how long a failed member keeps its tokens, and how long a report of demand
	// counts.
	LeaseTimeout time.Duration
	// ReportTTL is how long a report of outliers or retries counts.
	ReportTTL time.Duration
	// RetryRatio is how many retries are allowed for one first attempt.
	RetryRatio float64
	// MaxOutlierFraction is the fraction of all endpoints that may be outliers at most.
	MaxOutlierFraction float64
}

const (
	minEpoch      = 10 * time.Millisecond
	maxRetryRatio = 10
)

// InvalidKey returns the first invalid key, or "".
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

// Period returns the number of the period, half an epoch, in which now lies, and when it begins
// and ends. Even periods are the first of their epoch.
func (c Config) Period(now time.Duration) (period int64, begin, end time.Duration) {
	duration := c.Epoch / 2
	period = int64(now / duration)
	return period, time.Duration(period) * duration, time.Duration(period+1) * duration
}

// Guards names the checks that a mutation can switch off, so that a scenario shows that it
// would notice. All false in service.
type Guards struct {
	RankedAllocation bool // every member takes the whole budget
	LeaseExpiry      bool // failed members keep their lease for ever
	Quorum           bool // one reporter is enough
	RetryBudget      bool // retries are unlimited
}
