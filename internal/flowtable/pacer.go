package flowtable

import "time"

const (
	// compactionSlack is how many flows a Pacer's queue holds at least before it is compacted.
	compactionSlack = 1024
	// minPacerWait is the shortest time that Pacer.Next tells its caller to wait.
	minPacerWait = time.Millisecond
)

// Pacer spreads placements that come in a burst, such as those of all flows of an endpoint
// that was lost: Burst of them at once, Rate a second after that, the others wait in a
// queue. The dispatcher has budgets of its own besides.
type Pacer struct {
	Rate  float64 // placements a second
	Burst float64 // placements at once
	// NewestFirst has the newest flow placed first. In a flood the oldest ones are evicted
	// before it is their turn.
	NewestFirst bool

	bucket       tokenBucket
	started      bool // the bucket has been filled
	queue        []Ref
	head         int // of the queue; what is before it has been taken
	compactAbove int // the length of the queue above which Add compacts it
}

// Add puts a flow into the queue. A queue that has grown is rid of flows that isWanted rejects.
func (p *Pacer) Add(ref Ref, isWanted func(Ref) bool) {
	if len(p.queue) > p.compactAbove {
		p.compact(isWanted)
	}
	p.queue = append(p.queue, ref)
}

func (p *Pacer) compact(isWanted func(Ref) bool) {
	kept := p.queue[:0]
	for _, queued := range p.queue[p.head:] {
		if isWanted(queued) {
			kept = append(kept, queued)
		}
	}
	p.queue, p.head = kept, 0
	p.compactAbove = 2*len(kept) + compactionSlack
}

// Len returns how many flows wait, including those that are no longer wanted.
func (p *Pacer) Len() int { return len(p.queue) - p.head }

// Next takes the next flow from the queue. If ok is false there is none yet: wait is the time
// until the next token, or 0 if no flow waits. Flows that isWanted rejects are dropped and
// take no token; in a flood that is most of them.
func (p *Pacer) Next(now time.Duration, isWanted func(Ref) bool) (ref Ref, ok bool, wait time.Duration) {
	if !p.started {
		p.started = true
		p.bucket = tokenBucket{tokens: p.Burst, refilledAt: now}
	}
	p.bucket.refill(now, p.Rate, p.Burst)
	for p.Len() > 0 && !isWanted(p.peek()) {
		p.pop()
	}
	if p.Len() == 0 {
		return Ref{}, false, 0
	}
	if p.bucket.tokens < 1 {
		untilToken := time.Duration((1 - p.bucket.tokens) / p.Rate * float64(time.Second))
		return Ref{}, false, max(minPacerWait, untilToken)
	}
	p.bucket.tokens--
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
	p.head++
	if p.head == len(p.queue) {
		p.queue, p.head = p.queue[:0], 0
	}
	return ref
}
