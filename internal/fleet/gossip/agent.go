// Package member is the fleet agent's part in gossip: it knows which nodes there are (SWIM,
// by hashicorp/memberlist), spreads what each has spent and seen, and tells the node beside
// it what it may spend, as package share decides.
package gossip

import (
	"hash/maphash"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"coralrelay/balance"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/zonestatus"
)

// binds is how long a grant keeps the node to the fleet's budgets after the agent has last
// been heard of.
const binds = time.Second

// Agent is one member. Its methods may be called at any time; Zone and Record are set
// before.
type Member struct {
	Zone          string               // where it stands; empty for nowhere
	ReplogAddress string               // where the others reach its record; empty where it serves none
	OnMessage     func(message []byte) // what others Tell this member; nil for nobody

	name  string
	boot  int64
	cfg   quota.Config
	clock func() time.Duration

	mu     sync.Mutex
	state  *quota.State
	places map[string]place  // of others
	words  map[string]word   // the last of each member
	uses   map[string]Usage  // and of what it uses of accounts,
	raw    map[string][]byte // as it travels
	given  Decision
	seq    uint64
	half   int64                  // of the node's last word
	spent  map[quota.Endpoint]int // in that half
	prior  map[quota.Endpoint]int // in the half before it
	seed   maphash.Seed
	heard  [4096]uint64 // marks of reports that were taken
	spread func(name string, report []byte)
	list   *memberlist.Memberlist // nil before Run has met anybody
}

// Decided is what the record, or this member by itself, has decided for its node.
type Decision struct {
	LogIndex   uint64                    // of the record as this member serves it
	ZoneBounds []zonestatus.TrafficLimit // zones that are not named are not bounded
	ShedShare  float64                   // share of first arrivals that is refused at once
}

// NewAgent returns a member by that name that knows nobody.
func NewMember(name string, cfg quota.Config, ignore quota.Guards, clock func() time.Duration) *Member {
	a := &Member{name: name, boot: int64(clock()), cfg: cfg, clock: clock, state: quota.NewState(name, cfg),
		places: map[string]place{}, words: map[string]word{},
		uses: map[string]Usage{}, raw: map[string][]byte{}, seed: maphash.MakeSeed(),
		spent: map[quota.Endpoint]int{}, prior: map[quota.Endpoint]int{}, spread: func(string, []byte) {}}
	a.state.DisabledGuards = ignore
	return a
}

// Decide takes what the node is told from now on.
func (a *Member) SetDecision(d Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.given = d
	a.forget(a.clock())
}

// Answer takes what the node has spent and returns what it may spend now.
func (a *Member) ReportSpending(sp balance.QuotaUsage) balance.QuotaLease {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own(now, sp)
	a.forget(now)
	half, _, end := a.cfg.Period(now)
	g := balance.QuotaLease{Period: half, TokensExpireAt: end, LeaseDuration: binds, RetryBudget: a.state.RetryBudget(now), ShedFraction: a.given.ShedShare}
	old := a.half == half && sp.Period < half // a new process of the node: the old one had this half's tokens
	for _, b := range a.given.ZoneBounds {
		g.Zones = append(g.Zones, a.zoneGrant(now, b, old))
	}
	if old {
		return g
	}
	for _, t := range a.state.Allocate(now) {
		g.Servers = append(g.Servers, balance.ServerQuota{ID: t.ID, StartedAt: time.Duration(t.StartedAt) * time.Millisecond, Tokens: t.Tokens})
	}
	for _, s := range a.state.Outliers(now) {
		g.EjectedServers = append(g.EjectedServers, s.ID)
	}
	return g
}

func (a *Member) zoneGrant(now time.Duration, b zonestatus.TrafficLimit, spent bool) balance.ZoneQuota {
	g := balance.ZoneQuota{Zone: b.Zone, Share: b.Share, Tokens: -1}
	if b.Rate > 0 {
		if g.Tokens = 0; !spent {
			g.Tokens = a.state.AllocateRate(now, quota.ZoneKey(b.Zone), b.Rate)
		}
	}
	return g
}

// own makes this member's report of what its node says, and spreads it.
func (a *Member) own(now time.Duration, sp balance.QuotaUsage) {
	if sp.Period > a.half {
		if a.prior = a.spent; sp.Period > a.half+1 {
			a.prior = map[quota.Endpoint]int{}
		}
		a.half, a.spent = sp.Period, map[quota.Endpoint]int{}
	}
	a.seq++
	w := word{Report: quota.Report{Member: a.name, Incarnation: a.boot, Seq: a.seq, ReportedAt: now, Period: a.half, FirstAttempts: sp.FirstAttempts, Retries: sp.Retries},
		Zone: a.Zone, Index: a.given.LogIndex, Sights: sights(sp.Servers)}
	for _, x := range sp.Servers {
		s := quota.Endpoint{ID: x.ID, StartedAt: x.StartedAt.Milliseconds()}
		if sp.Period == a.half && x.Used > 0 {
			a.spent[s] = x.Used
		}
		if x.RecentAttempts >= asked || x.WarmingUp {
			u := quota.Usage{Endpoint: s, WarmingUp: x.WarmingUp, Demand: x.ColdBudget, Attempts: x.RecentAttempts, FailedAttempts: x.RecentFailures}
			if x.WarmingUp { // tokens are for cold ones alone
				u.Spent, u.PriorSpent = a.spent[s], a.prior[s]
			}
			w.Usages = append(w.Usages, u)
		}
	}
	for _, z := range sp.Zones {
		s := quota.ZoneKey(z.Zone)
		if sp.Period == a.half && z.Used > 0 {
			a.spent[s] = z.Used
		}
		if u := (quota.Usage{Endpoint: s, Spent: a.spent[s], PriorSpent: a.prior[s]}); u.Spent+u.PriorSpent > 0 {
			w.Usages = append(w.Usages, u)
		}
	}
	a.keep(w)
	a.spread(a.name, w.pack())
}

// keep takes a report if it is news, and tells whether it was.
func (a *Member) keep(w word) bool {
	if !w.sound() || !a.state.Merge(w.Report) {
		return false
	}
	a.words[w.Member] = w
	return true
}

// Hear takes a report as it came, and spreads it further if it is news. Gossip brings each
// several times: it is read once.
func (a *Member) Receive(raw []byte) {
	mark := maphash.Bytes(a.seed, raw)
	place := &a.heard[mark%uint64(len(a.heard))]
	a.mu.Lock()
	known := *place == mark
	a.mu.Unlock()
	if known {
		return
	}
	if isUsed(raw) {
		a.mu.Lock()
		defer a.mu.Unlock()
		name, news, err := a.hearUsed(raw)
		if err != nil {
			slog.Warn("fleet: what a member says to have used can't be read", "err", err)
		} else if news {
			*place = mark
			a.spread(name, slices.Clone(raw))
		}
		return
	}
	w, err := read(raw)
	if err != nil {
		slog.Warn("fleet: a report that can't be read", "err", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.Member != a.name && a.keep(w) {
		*place = mark
		a.spread(w.Member, slices.Clone(raw))
	}
}
