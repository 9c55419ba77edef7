package route

import (
	"fmt"
	"maps"
	"time"

	"coralrelay/internal/fleet/account"
)

// The figures that a transaction counts on, in the order of account.Figures.
const (
	open = iota
	rate
	retries
	probes
	figures
)

var figureNames = [figures]string{"open", "rate", "retries", "probes"}

// Ledger counts what this node uses against the rights that it was dealt. Until it is dealt
// some it refuses nothing.
//
// Rights of a half epoch are tokens for set-ups, retries and probes, void from its end on.
// In a half that nothing was dealt for yet, a node goes by its even part of each limit; what
// it has spent by then counts against what it is dealt. So in each half the fleet is over
// by no more than all even parts together, which are half of a limit's tokens for an epoch,
// and one; attempts beyond a first and probes, which the module makes, are counted when
// they are made, and come on top. How many may stand is what was last dealt
// until that is older than the hold, then the even part: what stands is never called back.
type Limiter struct {
	cfg    account.LeaseConfig
	half   int64
	rights account.QuotaLease
	dealt  time.Duration // when; counts once rights are there
	has    bool
	counts map[string]*count
	over   map[string]float64 // parts of a transaction that contracts are still to refuse
	said   map[Rejection]uint64
}

// count is what is used of one path.
type count struct {
	standing int
	used     [figures]float64 // in this half; of open nothing
	refused  [figures]float64
	prior    [figures]float64 // used in the half before
	wanted   [figures]float64 // and with what was refused
}

// Refusal is what transactions were refused for: the level that was full, which is a
// contract where its regions have no room.
type Rejection struct{ Account, Level, Resource string }

// mostSaid bounds the kinds of refusals that are counted apart.
const mostSaid = 4096

// NewLedger returns a Ledger of what all members are given alike.
func NewLimiter(cfg account.LeaseConfig) (*Limiter, error) {
	if key := cfg.InvalidField(); key != "" {
		return nil, fmt.Errorf("ledger: %s can't be worked with", key)
	}
	return &Limiter{cfg: cfg, counts: map[string]*count{}, over: map[string]float64{}, said: map[Rejection]uint64{}}, nil
}

// Deal takes rights as they come. Those of an older half than the last are late, and passed
// over. Times are Unix time.
func (l *Limiter) SetLease(r account.QuotaLease, now time.Duration) {
	l.turn(now)
	if l.has && r.HalfEpoch < l.rights.HalfEpoch {
		return
	}
	l.rights, l.dealt, l.has = r, now, true
}

// Admit takes a transaction that comes now onto all levels of its route, or tells which is
// full, the highest of them. A retry counts as one besides, whoever makes it. It stands from
// then on until Closed, so that many at once do not pass a limit together.
func (l *Limiter) Admit(now time.Duration, r *Route, retry bool) (ok bool, over string) {
	l.turn(now)
	need := [figures]float64{open: 1, rate: 1, probes: 1}
	if retry {
		need[retries] = 1
	}
	for _, path := range r.Levels {
		c := l.counts[path]
		for i, n := range need {
			has := float64(0)
			if c != nil {
				if has = c.used[i]; i == open {
					has = float64(c.standing)
				}
			}
			if most := l.right(now, path, i); n > 0 && most >= 0 && has+n > most {
				l.refuse(r, Rejection{r.Account, path, figureNames[i]}, need)
				return false, path
			}
		}
	}
	if r.RejectedShare > 0 {
		if len(l.over) > mostSaid {
			clear(l.over) // of contracts that are long gone, most of them
		}
		if l.over[r.Contract] += r.RejectedShare; l.over[r.Contract] >= 1 {
			l.over[r.Contract]--
			l.refuse(r, Rejection{r.Account, r.Contract, "contract"}, need)
			return false, r.Contract
		}
	}
	need[probes] = 0 // it needs room for one, and counts those that it makes
	l.RecordAttempts(now, r, 1, int(need[retries]), 0)
	l.ConnectionOpened(r)
	return true, ""
}

// Spent counts set-ups, retries and probes that were made on a route without being asked
// for: attempts beyond a first, which the module decides on, and what it has probed.
func (l *Limiter) RecordAttempts(now time.Duration, r *Route, setups, again, probed int) {
	l.turn(now)
	for _, path := range r.Levels {
		c := l.count(path)
		c.used[rate] += float64(setups)
		c.used[retries] += float64(again)
		c.used[probes] += float64(probed)
	}
}

// Opened counts what stands without having been admitted: it was taken over.
func (l *Limiter) ConnectionOpened(r *Route) {
	for _, path := range r.Levels {
		l.count(path).standing++
	}
}

// Closed is told once for each that was admitted or opened, with the route of then: its
// attempts have failed, or it has ended.
func (l *Limiter) ConnectionClosed(r *Route) {
	for _, path := range r.Levels {
		if c := l.counts[path]; c != nil && c.standing > 0 {
			c.standing--
		}
	}
}

func (l *Limiter) count(path string) *count {
	c := l.counts[path]
	if c == nil {
		c = &count{}
		l.counts[path] = c
	}
	return c
}

// turn begins a half epoch. Paths that nothing is known of any more are forgotten.
func (l *Limiter) turn(now time.Duration) {
	half := int64(now / (l.cfg.Epoch / 2))
	if half <= l.half {
		return
	}
	for path, c := range l.counts {
		next := count{standing: c.standing}
		if half == l.half+1 {
			next.prior = c.used
			for i := range figures {
				next.wanted[i] = c.used[i] + c.refused[i]
			}
			next.wanted[open] = float64(c.standing) + c.refused[open]
		}
		if next == (count{}) {
			delete(l.counts, path)
			continue
		}
		*c = next
	}
	l.half = half
}

// refuse counts a refusal, and what was wanted on all levels.
func (l *Limiter) refuse(r *Route, why Rejection, need [figures]float64) {
	for _, path := range r.Levels {
		c := l.count(path)
		for i, n := range need {
			c.refused[i] += n
		}
	}
	if _, ok := l.said[why]; !ok && len(l.said) >= mostSaid {
		why = Rejection{Resource: why.Resource}
	}
	l.said[why]++
}

// Refused tells how many transactions were refused for what since the start. What is beyond
// 4096 kinds is counted without account and level.
func (l *Limiter) Rejections() map[Rejection]uint64 { return maps.Clone(l.said) }

// Use is this node's word for its agent, which adds who and when. Paths that have nothing to
// tell are left out.
func (l *Limiter) Usage(now time.Duration) account.Usage {
	l.turn(now)
	u := account.Usage{HalfEpoch: l.half, Used: map[string]account.Amounts{}, UsedBefore: map[string]account.Amounts{}, Demand: map[string]account.Amounts{}}
	for path, c := range l.counts {
		used := c.used
		used[open] = float64(c.standing)
		put(u.Used, path, used)
		put(u.UsedBefore, path, c.prior)
		put(u.Demand, path, c.wanted)
	}
	return u
}
