package flowtable

import "time"

// Pace spreads placements that come in a burst, such as those of all flows of a
// server that is lost: so many may be asked for at once, so many a second after
// that. Who waits stays in order; the decision module keeps its own budgets besides.
type Pacer struct {
	Rate        float64 // a second
	Burst       float64
	NewestFirst bool // first: in a flood the oldest lose their places before it is their turn
	room        int  // of the queue, before those that nobody wants are looked for
	tokens      float64
	at          time.Duration
	began       bool
	queue       []Ref
	head        int
}

// Add puts a flow into the line. Those that still no longer wants leave it.
func (p *Pacer) Add(r Ref, still func(Ref) bool) {
	if len(p.queue) > p.room {
		kept := p.queue[:0]
		for _, one := range p.queue[p.head:] {
			if still(one) {
				kept = append(kept, one)
			}
		}
		p.queue, p.head, p.room = kept, 0, 2*len(kept)+1024
	}
	p.queue = append(p.queue, r)
}

// Len is how many wait.
func (p *Pacer) Len() int { return len(p.queue) - p.head }

// Next hands over a flow whose turn it is. It is false if none is: wait tells how
// long until one may be, 0 if nobody waits. Flows that still no longer wants take no
// turn; in a flood most have lost their places by the time they are reached.
func (p *Pacer) Next(now time.Duration, still func(Ref) bool) (r Ref, ok bool, wait time.Duration) {
	if !p.began {
		p.began, p.tokens, p.at = true, p.Burst, now
	}
	if now > p.at {
		p.tokens = min(p.Burst, p.tokens+p.Rate*(now-p.at).Seconds())
		p.at = now
	}
	for p.Len() > 0 && !still(p.next()) {
		p.take()
	}
	if p.Len() == 0 {
		return Ref{}, false, 0
	}
	if p.tokens < 1 {
		return Ref{}, false, max(time.Millisecond, time.Duration((1-p.tokens)/p.Rate*float64(time.Second)))
	}
	p.tokens--
	return p.take(), true, 0
}

func (p *Pacer) next() Ref {
	if p.NewestFirst {
		return p.queue[len(p.queue)-1]
	}
	return p.queue[p.head]
}

func (p *Pacer) take() Ref {
	r := p.next()
	if p.NewestFirst {
		p.queue = p.queue[:len(p.queue)-1]
		return r
	}
	if p.head++; p.head == len(p.queue) {
		p.queue, p.head = p.queue[:0], 0
	}
	return r
}
