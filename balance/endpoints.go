package balance

// Which servers are there, and when is their list asked for?

import (
	"maps"
	"slices"
	"time"
)

// retry is the pause after a first call that failed; each further one is four times as long,
// and none over settle. each is what one of the calls of all instances at one moment takes:
// docs/notes/lists.md derives them.
const retry, each = settle / 8, settle / 300

// askFirst takes a start, which may be all instances', for the end of a watch.
func (b *Balancer) askFirst() {
	if b.set.Instances > 1 && !b.set.SubscribeImmediately {
		b.subscribed = true
		b.listUpdate(ListUpdate{Kind: ListFailed})
	}
	b.askList()
}

func (b *Balancer) askList() {
	if b.set.SubscribeRequired && !b.subscribed && b.now >= b.askAt {
		b.askAt = b.now + max(b.set.SubscribeTimeout, time.Second) // should the answer never come
		b.do(Subscribe{})
	}
}

func (b *Balancer) listUpdate(e ListUpdate) {
	if e.Kind == ListFailed {
		// A watch that has ended is no list that is down: it is asked at once, unless it had
		// just begun. The back-off is for calls. However long they have failed, two fit into
		// the time after which all that a list has to tell counts as told once it is back.
		others := time.Duration(b.set.Instances - 1)
		pause := max(b.jitter(min(others*each, settle)/2, 1), b.askAt-b.now)
		if !b.subscribed {
			pause = b.jitter(min(retry<<min(2*b.failures, 16), settle), 0.25)
			b.failures++
		}
		b.subscribed, b.askAt = false, b.now+pause
		b.do(SetTimer{Delay: pause + b.set.Tick})
		return
	}
	if e.Kind != ListCached && !b.subscribed {
		b.subscribed, b.failures, b.askAt = true, 0, b.now+settle
	}
	if e.Kind != ListDelta {
		b.dropUnlisted(e.Entries)
	}
	b.listed = b.listed || e.Kind == ListFull || len(e.Entries) > 0
	none := len(b.ready) == 0
	for _, entry := range e.Entries {
		b.entry(entry)
	}
	if none && len(b.ready) > 0 {
		b.pausedTo = b.now
		b.pump()
	}
	b.giveUpHopeless()
}

// dropUnlisted marks servers gone that a whole list no longer names.
func (b *Balancer) dropUnlisted(entries []ServerEntry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) { // not in the map's order
		if !listed[id] {
			gone := b.servers[id].ServerEntry
			gone.State = Gone
			b.entry(gone)
		}
	}
}

// entry takes what the list says of one server.
func (b *Balancer) entry(e ServerEntry) {
	s := b.servers[e.ID]
	if s == nil {
		if e.State == Gone {
			return
		}
		s = &server{slot: -1, load: -1, hash: hash(e.ID)}
		s.placed.span, s.faults.span, s.sent.span = settle, blame, b.rate[0].span
		s.asked.span, s.failed.span = evidence, evidence
		b.servers[e.ID] = s
	}
	if e.StartedAt > s.StartedAt { // another process: what is known is the old one's
		s.load, s.each, s.probing = -1, 0, false
		s.placed.sum, s.faults.sum, s.sent.sum = 0, 0, 0
		s.asked.sum, s.failed.sum, s.used, s.tokens = 0, 0, 0, 0
	}
	if e.State == Draining && s.State != Draining {
		for _, r := range s.conns {
			b.leave(r)
		}
	}
	s.ServerEntry = e
	switch {
	case e.State == Ready && s.slot < 0:
		s.slot = len(b.ready)
		b.ready = append(b.ready, s)
		i, _ := slices.BinarySearchFunc(b.ring, s.hash, byHash)
		b.ring = slices.Insert(b.ring, i, s)
	case e.State != Ready && s.slot >= 0:
		last := b.ready[len(b.ready)-1]
		b.ready[s.slot], last.slot = last, s.slot
		b.ready = b.ready[:len(b.ready)-1]
		b.ring = slices.DeleteFunc(b.ring, func(t *server) bool { return t == s })
		s.slot = -1
	}
	if e.State == Gone && len(s.conns) == 0 {
		delete(b.servers, e.ID)
	}
}
