package balance

import "time"

// scheduledEvent is a function that runs at a given time of the simulation.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of scheduled events, for use with container/heap. Events are ordered by their time,
// and events of the same time by the order in which they were scheduled.
type eventQueue struct {
	events       []scheduledEvent
	lastSequence int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}
