package agent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/replog"
)

const (
	// spared is how many times as long as a deal took no other is made in the same half.
	spared = 5
	// mostFilled bounds what is reckoned of words that were cut; whose word is beyond it
	// counts as not heard, and as having spent all that it had.
	mostFilled = 200_000
	// dealing is awaited for so long: a node that asks has more to hear.
	awaited = 50 * time.Millisecond
)

// dealing is what the node may use of accounts' limits.
type dealing struct {
	cfg account.LeaseConfig

	jobs chan job // holds one at most

	mu     sync.Mutex
	busy   bool // a deal is under way
	own    account.Usage
	last   account.QuotaLease
	number uint64 // of the last deal: when it was made, or later
	even   uint64 // the first deal that had its even parts
	heard  int    // members that had been heard of for it
	made   time.Duration
	cost   time.Duration
	parts  [2][]account.QuotaLease // with even parts, and without
}

// job is what one deal is made of.
type job struct {
	now   time.Duration
	view  replog.View
	own   account.Usage
	uses  []gossip.Usage
	among account.QuotaLease
	done  chan struct{}
}

// run makes deals until ctx ends.
func (d *dealing) run(ctx context.Context, a *Agent) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-d.jobs:
			d.take(a, j, d.deal(a, j))
			close(j.done)
		}
	}
}

// tell puts rights into the node's answer, if they are news to it. They are dealt once in a
// half epoch, as the node's own word of it comes, and again as that of others comes.
func (d *dealing) tell(a *Agent, now time.Duration, v replog.View, s *agentapi.Report, to *agentapi.Response) {
	if v.State == nil || len(v.State.Accounts.Nodes) == 0 && s.LeaseNumber == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	word := s.Usage != nil
	if word {
		d.own = *s.Usage
		d.own.Member, d.own.ReportedAt = a.Name, now
		if d.own.IsValid() {
			a.Gossip.PublishUsage(d.own)
		} else {
			d.own = account.Usage{Member: a.Name, ReportedAt: now}
		}
	}
	uses := a.Gossip.Usages()
	half, heard := int64(now/(d.cfg.Epoch/2)), 0
	for _, u := range uses {
		if u.HalfEpoch == half {
			heard++
		}
	}
	if due := d.number == 0 || half != d.last.HalfEpoch || (word || half%2 == 1 && heard > d.heard) && now >= d.made+spared*d.cost; due && !d.busy {
		d.busy, d.heard = true, heard
		j := job{now, v, d.own, uses, d.among(a), make(chan struct{})}
		d.jobs <- j
		d.mu.Unlock()
		late := time.NewTimer(awaited)
		select {
		case <-j.done:
		case <-late.C:
		}
		late.Stop()
		d.mu.Lock()
	}
	if d.number == 0 {
		return
	}
	parts := d.parts[0]
	if s.CompleteLeaseNumber >= d.even && s.CompleteLeaseNumber <= d.number {
		parts = d.parts[1]
	}
	piece := 0
	if s.LeaseNumber == d.number {
		piece = s.LeasePartsReceived
	}
	if to.More || piece >= len(parts) { // a table goes first
		return
	}
	r := parts[piece]
	r.ExpiresAt -= a.ClockOffset // the node's clock is the machine's
	to.Lease, to.LeaseNumber, to.LeaseParts, to.More = &r, d.number, len(parts), piece+1 < len(parts)
}

// deal reckons this half's rights anew. Who has not heard the record for the hold goes by its
// even part.
func (d *dealing) deal(a *Agent, j job) (r account.QuotaLease) {
	tree := j.view.State.Accounts
	if a.lost(j.now, j.view, d.cfg.HolderTimeout) {
		r = account.AllocateEvenShare(j.now, d.cfg, tree, j.own, j.among)
	} else {
		r = account.Allocate(j.now, d.cfg, tree, whole(j.uses, j.view.State, int64(j.now/(d.cfg.Epoch/2))), a.Gossip.LeaseHolders(), a.Name)
	}
	for _, m := range []map[string]account.Amounts{r.Allocated, r.EvenShares} { // no bound is what the node takes silence for
		maps.DeleteFunc(m, func(_ string, f account.Amounts) bool {
			return f.Connections < 0 && f.Setups < 0 && f.Retries < 0 && f.Probes < 0
		})
	}
	return r
}

// take tells the node of a deal from now on, if it is another than the last.
func (d *dealing) take(a *Agent, j job, r account.QuotaLease) {
	bare := r
	bare.EvenShares = nil
	parts := [2][]account.QuotaLease{agentapi.SplitLease(r, agentapi.MaxPartBytes), agentapi.SplitLease(bare, agentapi.MaxPartBytes)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy, d.made, d.cost = false, j.now, a.Clock()-j.now
	same := maps.Equal(r.EvenShares, d.last.EvenShares) && r.HolderRank == d.last.HolderRank && r.HolderCount == d.last.HolderCount
	if d.number != 0 && same && r.HalfEpoch == d.last.HalfEpoch && maps.Equal(r.Allocated, d.last.Allocated) {
		return
	}
	d.number = max(uint64(j.now), d.number+1)
	if !same || d.even == 0 {
		d.even = d.number
	}
	d.last, d.parts = r, parts
}

// lost tells whether the record has not been heard for the hold.
func (a *Agent) lost(now time.Duration, v replog.View, hold time.Duration) bool {
	switch {
	case v.WithinLease:
		return false
	case v.ConfirmedAt.IsZero():
		return now-a.began >= hold
	}
	return time.Since(v.ConfirmedAt) >= hold
}

// among is what an even part is a part of: what it was at the last deal.
func (d *dealing) among(a *Agent) account.QuotaLease {
	if d.last.HolderCount > 0 {
		return d.last
	}
	holders := a.Gossip.LeaseHolders()
	return account.QuotaLease{HolderRank: max(slices.Index(holders, a.Name), 0), HolderCount: max(d.cfg.FleetSize, len(holders), 1)}
}

// whole returns words as the deal takes them. What a word that was cut does not name counts
// as used as much as it says of the rest.
func whole(uses []gossip.Usage, s *logentry.State, half int64) (all []account.Usage) {
	var bound []string
	filled := 0
	for _, u := range uses {
		if u.HalfEpoch == half && u.OmittedMax != (account.Amounts{}) {
			if bound == nil {
				bound = limited(s.Accounts)
			}
			if filled += len(bound); filled > mostFilled {
				continue
			}
			prior := maps.Clone(u.UsedBefore)
			for _, path := range bound {
				if _, ok := prior[path]; !ok {
					prior[path] = u.OmittedMax
				}
			}
			u.UsedBefore = prior
		}
		all = append(all, u.Usage)
	}
	return all
}

// limited are the paths that have a limit which is dealt again in an epoch's second half.
func limited(s account.State) []string {
	paths := []string{}
	bound := func(l account.Limits) bool { return l.SetupRate >= 0 || l.RetryRate >= 0 || l.ProbeRate >= 0 }
	for path, n := range s.Nodes {
		if bound(n.Limits) {
			paths = append(paths, path)
		}
	}
	for path, r := range s.Routes {
		if bound(r.Limits) {
			paths = append(paths, path)
		}
	}
	return paths
}
