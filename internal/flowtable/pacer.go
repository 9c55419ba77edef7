package flowtable

import "time"

// Pace spreads placements that come in a burst, such as those of all flows of a
// server that is lost: so many may be asked for at once, so many a second after
// that. Who waits stays in order; the decision module keeps its own budgets besides.
type Pacer struct {
	Rate         float64 // a second
	Burst        float64
	NewestFirst  bool // first: in a flood the oldest lose their places before it is their turn
	compactAbove int  // of the queue, before those that nobody wants are looked for
	tokens       float64
	refilledAt   time.Duration
	started      bool
	queue        []Ref
	head         int
}

// Add puts a flow into the line. Those that still no longer wants leave it.
func (p *Pacer) Add(ref Ref, isWanted func(Ref) bool) {
	if len(p.queue) > p.compactAbove {
		kept := p.queue[:0]
		for _, queued := range p.queue[p.head:] {
			if isWanted(queued) {
				kept = append(kept, queued)
			}
		}
		p.queue, p.head, p.compactAbove = kept, 0, 2*len(kept)+1024
	}
	p.queue = append(p.queue, ref)
}

// Len is how many wait.
func (p *Pacer) Len() int { return len(p.queue) - p.head }

// Next hands over a flow whose turn it is. It is false if none is: wait tells how
// long until one may be, 0 if nobody waits. Flows that still no longer wants take no
// turn; in a flood most have lost their places by the time they are reached.
func (p *Pacer) Next(now time.Duration, isWanted func(Ref) bool) (ref Ref, ok bool, wait time.Duration) {
	if !p.started {
		p.started, p.tokens, p.refilledAt = true, p.Burst, now
	}
	if now > p.refilledAt {
		p.tokens = min(p.Burst, p.tokens+p.Rate*(now-p.refilledAt).Seconds())
		p.refilledAt = now
	}
	for p.Len() > 0 && !isWanted(p.peek()) {
		p.pop()
	}
	if p.Len() == 0 {
		return Ref{}, false, 0
	}
	if p.tokens < 1 {
		return Ref{}, false, max(time.Millisecond, time.Duration((1-p.tokens)/p.Rate*float64(time.Second)))
	}
	p.tokens--
	return p.pop(), true, 0
}

func (p *Pacer) peek() Ref {
	if p.NewestFirst {
		return p.queue[len(p.queue)-1]
	}
	return p.queue[p.head]
}

func (p *Pacer) pop() Ref {
	ref := p.peek()
	if p.NewestFirst {
		p.queue = p.queue[:len(p.queue)-1]
		return ref
	}
	if p.head++; p.head == len(p.queue) {
		p.queue, p.head = p.queue[:0], 0
	}
	return ref
}
