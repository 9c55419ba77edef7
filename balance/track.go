package balance

// How requests, connections, groups and timers are booked. Nothing is decided here.

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// never is a time that does not come.
	never = time.Duration(math.MaxInt64)
	// noteEvery keeps the log readable in a storm.
	noteEvery = 10 * time.Second
)

func (b *Balancer) track(q Request) *request {
	class := b.classes[q.Class]
	if class == nil { // unknown classes are treated as the first, but never repeated
		c := b.set.Classes[0]
		c.Idempotency = NonIdempotent
		class = &c
	}
	b.seq++
	r := &request{Request: q, seq: b.seq, class: class, heft: 1}
	if q.LoadHint > 0 && !math.IsInf(q.LoadHint, 1) {
		// Over the mean, and bounded: one client's word must not make all others weigh
		// nothing.
		if b.hints == 0 {
			b.hint = q.LoadHint
		}
		b.hints = min(b.hints+1, 64)
		r.heft = min(max(q.LoadHint/b.hint, 1/heaviest), heaviest)
		b.hint += (r.heft - 1) * b.hint / b.hints
	}
	b.requests[q.ID], b.bySeq[r.seq] = r, r
	return r
}

// attach books r as an open connection at s.
func (b *Balancer) attach(r *request, s *server) {
	// Timers of the time before are void: one that was still to come once
	// moved the connection it had helped to place.
	b.enter(r, opened)
	r.since = b.now
	r.at, r.place, r.wake = s, len(s.conns), never
	s.conns = append(s.conns, r)
	b.open++
	if b.set.Connections.GroupAffinity && r.Group != "" {
		g := b.groups[r.Group]
		if g == nil {
			g = &group{}
			b.groups[r.Group] = g
		}
		g.home = s
		g.size++
	}
	if s.State == Draining {
		b.leave(r)
	}
}

func (b *Balancer) detach(r *request) {
	s := r.at
	last := len(s.conns) - 1
	s.conns[r.place] = s.conns[last]
	s.conns[r.place].place = r.place
	s.conns[last] = nil
	s.conns = s.conns[:last]
	b.open--
	if g := b.groups[r.Group]; g != nil {
		if g.size--; g.size == 0 {
			delete(b.groups, r.Group)
		}
	}
	if last == 0 && s.State == Gone && b.servers[s.ID] == s {
		delete(b.servers, s.ID)
	}
}

// forget drops all that is kept of r.
func (b *Balancer) forget(r *request) {
	if r.asked != nil {
		b.unask(r)
	}
	if r.phase == opened && r.at != nil {
		b.detach(r)
	}
	if r.phase == queued {
		b.unqueue(r)
	}
	b.enter(r, ended)
	delete(b.requests, r.ID)
	delete(b.bySeq, r.seq)
	b.pump()
}

// unqueue takes r out of the queue. It is served newest first: in a long
// congestion what had ended would lie at its bottom for good.
func (b *Balancer) unqueue(r *request) {
	if i := slices.Index(b.queue, r); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
}

func (b *Balancer) unask(r *request) {
	r.asked.waiting = slices.DeleteFunc(r.asked.waiting, func(w *request) bool { return w == r })
	r.asked = nil
}

// enter changes r's phase and counts those that draw or are being set up.
func (b *Balancer) enter(r *request, p phase) {
	was, is := r.phase == drawing || r.phase == sent, p == drawing || p == sent
	if was && !is {
		b.busy--
	} else if is && !was {
		b.busy++
	}
	r.phase = p
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// wakeAt asks to look at r again at the given time.
func (b *Balancer) wakeAt(r *request, at time.Duration) {
	// Timers count in microseconds: one that came a fraction early would be
	// taken for an old one, and r would wait for good.
	delay := max(at-b.now, b.set.Tick).Truncate(time.Microsecond)
	r.wake = b.now + delay
	b.do(SetTimer{Delay: delay, Token: r.seq})
}

// note logs a line for those on call, at most one in each noteEvery.
func (b *Balancer) note(format string, args ...any) {
	if b.now >= b.notedAt {
		b.notedAt = b.now + noteEvery
		b.do(Log{Text: fmt.Sprintf(format, args...)})
	}
}

// jitter spreads d by up to the given share either way.
func (b *Balancer) jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 + share*(2*b.rng.Float64()-1)))
}
