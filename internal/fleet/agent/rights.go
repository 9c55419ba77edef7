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
	cfg account.DealConfig

	jobs chan job // holds one at most

	mu     sync.Mutex
	busy   bool // a deal is under way
	own    account.Use
	last   account.Rights
	number uint64 // of the last deal: when it was made, or later
	even   uint64 // the first deal that had its even parts
	heard  int    // members that had been heard of for it
	made   time.Duration
	cost   time.Duration
	parts  [2][]account.Rights // with even parts, and without
}

// job is what one deal is made of.
type job struct {
	now   time.Duration
	view  replog.View
	own   account.Use
	uses  []gossip.Use
	among account.Rights
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
func (d *dealing) tell(a *Agent, now time.Duration, v replog.View, s *agentapi.Said, to *agentapi.Told) {
	if v.State == nil || len(v.State.Accounts.Nodes) == 0 && s.Deal == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	word := s.Uses != nil
	if word {
		d.own = *s.Uses
		d.own.Member, d.own.At = a.Name, now
		if d.own.Sound() {
			a.Member.Used(d.own)
		} else {
			d.own = account.Use{Member: a.Name, At: now}
		}
	}
	uses := a.Member.Uses()
	half, heard := int64(now/(d.cfg.Epoch/2)), 0
	for _, u := range uses {
		if u.Half == half {
			heard++
		}
	}
	if due := d.number == 0 || half != d.last.Half || (word || half%2 == 1 && heard > d.heard) && now >= d.made+spared*d.cost; due && !d.busy {
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
	if s.Even >= d.even && s.Even <= d.number {
		parts = d.parts[1]
	}
	piece := 0
	if s.Deal == d.number {
		piece = s.Piece
	}
	if to.More || piece >= len(parts) { // a table goes first
		return
	}
	r := parts[piece]
	r.Until -= a.Offset // the node's clock is the machine's
	to.Rights, to.Deal, to.Pieces, to.More = &r, d.number, len(parts), piece+1 < len(parts)
}

// deal reckons this half's rights anew. Who has not heard the record for the hold goes by its
// even part.
func (d *dealing) deal(a *Agent, j job) (r account.Rights) {
	tree := j.view.State.Accounts
	if a.lost(j.now, j.view, d.cfg.Hold) {
		r = account.Alone(j.now, d.cfg, tree, j.own, j.among)
	} else {
		r = account.Deal(j.now, d.cfg, tree, whole(j.uses, j.view.State, int64(j.now/(d.cfg.Epoch/2))), a.Member.Holders(), a.Name)
	}
	for _, m := range []map[string]account.Figures{r.Paths, r.Even} { // no bound is what the node takes silence for
		maps.DeleteFunc(m, func(_ string, f account.Figures) bool {
			return f.Open < 0 && f.Rate < 0 && f.Retries < 0 && f.Probes < 0
		})
	}
	return r
}

// take tells the node of a deal from now on, if it is another than the last.
func (d *dealing) take(a *Agent, j job, r account.Rights) {
	bare := r
	bare.Even = nil
	parts := [2][]account.Rights{agentapi.RightsParts(r, agentapi.Part), agentapi.RightsParts(bare, agentapi.Part)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy, d.made, d.cost = false, j.now, a.Clock()-j.now
	same := maps.Equal(r.Even, d.last.Even) && r.Place == d.last.Place && r.Of == d.last.Of
	if d.number != 0 && same && r.Half == d.last.Half && maps.Equal(r.Paths, d.last.Paths) {
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
	case v.Fresh:
		return false
	case v.ConfirmedAt.IsZero():
		return now-a.began >= hold
	}
	return time.Since(v.ConfirmedAt) >= hold
}

// among is what an even part is a part of: what it was at the last deal.
func (d *dealing) among(a *Agent) account.Rights {
	if d.last.Of > 0 {
		return d.last
	}
	holders := a.Member.Holders()
	return account.Rights{Place: max(slices.Index(holders, a.Name), 0), Of: max(d.cfg.Full, len(holders), 1)}
}

// whole returns words as the deal takes them. What a word that was cut does not name counts
// as used as much as it says of the rest.
func whole(uses []gossip.Use, s *logentry.State, half int64) (all []account.Use) {
	var bound []string
	filled := 0
	for _, u := range uses {
		if u.Half == half && u.Rest != (account.Figures{}) {
			if bound == nil {
				bound = limited(s.Accounts)
			}
			if filled += len(bound); filled > mostFilled {
				continue
			}
			prior := maps.Clone(u.Prior)
			for _, path := range bound {
				if _, ok := prior[path]; !ok {
					prior[path] = u.Rest
				}
			}
			u.Prior = prior
		}
		all = append(all, u.Use)
	}
	return all
}

// limited are the paths that have a limit which is dealt again in an epoch's second half.
func limited(s account.State) []string {
	paths := []string{}
	bound := func(l account.Limits) bool { return l.Rate >= 0 || l.Retries >= 0 || l.Probes >= 0 }
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
