package flow

import "time"

// Pace spreads placements that come in a burst, such as those of all flows of a
// server that is lost: so many may be asked for at once, so many a second after
// that. Who waits stays in order; the decision module keeps its own budgets besides.
type Pace struct {
	Rate   float64 // a second
	Burst  float64
	tokens float64
	at     time.Duration
	began  bool
	queue  []Ref
	head   int
}

// Add puts a flow into the line.
func (p *Pace) Add(r Ref) { p.queue = append(p.queue, r) }

// Len is how many wait.
func (p *Pace) Len() int { return len(p.queue) - p.head }

// Next hands over a flow whose turn it is. It is false if none is: wait tells how
// long until one may be, 0 if nobody waits.
func (p *Pace) Next(now time.Duration) (r Ref, ok bool, wait time.Duration) {
	if !p.began {
		p.began, p.tokens, p.at = true, p.Burst, now
	}
	if now > p.at {
		p.tokens = min(p.Burst, p.tokens+p.Rate*(now-p.at).Seconds())
		p.at = now
	}
	if p.Len() == 0 {
		return Ref{}, false, 0
	}
	if p.tokens < 1 {
		return Ref{}, false, max(time.Millisecond, time.Duration((1-p.tokens)/p.Rate*float64(time.Second)))
	}
	p.tokens--
	r = p.queue[p.head]
	if p.head++; p.head == len(p.queue) {
		p.queue, p.head = p.queue[:0], 0
	} else if p.head > 1024 && p.head > len(p.queue)/2 {
		p.queue = append(p.queue[:0], p.queue[p.head:]...)
		p.head = 0
	}
	return r, true, 0
}
