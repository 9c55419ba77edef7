package refmodel

// When does a change of a server count as told, and what may a cold one be sent? Rules 3
// and 4.

import (
	"math"
	"time"
)

type server struct {
	known   bool // by word
	state   ServerState
	told    time.Duration // when word first came that it is leaving
	changes []change      // as discovery had them, in order
	started time.Duration // its process, by word or by the clock
	sent    []time.Duration
}

// change is one that discovery has had.
type change struct {
	at      time.Duration
	state   ServerState
	started time.Duration
}

func (b *Checker) server(id string) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{}
		b.servers[id] = s
	}
	return s
}

// Changed takes that discovery has a change of a server, which could be asked for it from
// now on: word of it may come later, or never. Where lists are pushed it is the agent that
// has it. started is as in Told.
func (b *Checker) ServerChanged(now time.Duration, id string, state ServerState, started time.Duration) {
	b.CheckDeadlines(now)
	s := b.server(id)
	s.changes = append(s.changes, change{now, state, started})
	b.newProcesses()
}

// Told takes what the node was told of a server. started is when its process did; 0
// means long ago.
func (b *Checker) NodeNotified(now time.Duration, id string, state ServerState, started time.Duration) {
	b.CheckDeadlines(now)
	s := b.server(id)
	if state != Ready && s.state == Ready {
		s.told = now
	}
	s.process(started)
	s.state, s.known, b.listed = state, true, true
	b.look()
}

// process takes that s is a process that started then, unless it is known to be a later
// one by now: a new one's budget is its own.
func (s *server) process(started time.Duration) {
	if started > s.started {
		s.started, s.sent = started, nil
	}
}

// newProcesses takes those that count as told by now, though no word has come.
func (b *Checker) newProcesses() {
	for _, s := range b.servers {
		for _, c := range s.changes {
			if b.now >= c.at+b.terms.NotifyDelay {
				s.process(c.started)
			}
		}
	}
}

// leaving tells whether a server counts as told to be leaving, and since when: by word, or
// by what discovery has. Where discovery has it back already, only by word.
func (b *Checker) leaving(s *server) (since time.Duration, yes bool) {
	if s.state != Ready {
		since, yes = s.told, true
	}
	for i := len(s.changes) - 1; i >= 0 && s.changes[i].state != Ready; i-- {
		if at := s.changes[i].at + b.terms.NotifyDelay; !yes || at < since {
			since, yes = at, true
		}
	}
	return since, yes
}

// cold holds the window that ends now against a server's budget. As each send ends
// one, no window with more in it is left out.
func (b *Checker) cold(id string, s *server) {
	t := b.terms
	age := b.now - s.started
	if t.ServerRate == 0 || s.started <= 0 || age >= t.SlowStartDuration {
		return
	}
	within := 0
	for _, at := range s.sent {
		if at > b.now-t.OverloadWindow {
			within++
		}
	}
	warmth := t.SlowStartShare + (1-t.SlowStartShare)*age.Seconds()/t.SlowStartDuration.Seconds()
	budget := t.OverloadMultiple * warmth * t.ServerRate * t.OverloadWindow.Seconds()
	if chance := t.byChance(budget); float64(within) > budget+chance {
		b.broken(4, "%s, %v old, sent %d within %v; its budget is %.1f, and %.1f by chance", id, age, within, t.OverloadWindow, budget, chance)
	}
}

// byChance is what a fleet may send beyond a budget of n requests.
func (t Rules) byChance(n float64) float64 {
	chance := 2*math.Sqrt(n) + 2
	if t.ChanceAllowance > 0 {
		chance = min(chance, t.ChanceAllowance)
	}
	return chance
}
