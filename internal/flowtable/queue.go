package flowtable

// QueueBudget is what all flows together may still queue. Queues take from it and give back.
type QueueBudget struct{ Count, Bytes int }

// QueueLimit limits the datagrams and bytes in one flow's queue.
type QueueLimit struct{ Count, Bytes int }

// Queue holds the datagrams of one flow that wait for its placement, the oldest first. Its
// zero value is empty.
type Queue struct {
	datagrams [][]byte
	bytes     int
}

// Len returns how many datagrams wait.
func (q *Queue) Len() int { return len(q.datagrams) }

// Put appends a datagram, which then belongs to the queue. Where the limit or the budget is
// reached, the oldest datagrams of this flow are dropped for it, never those of another, and
// the datagram itself if that is not enough. dropped is called for each.
func (q *Queue) Put(datagram []byte, limit QueueLimit, budget *QueueBudget, dropped func([]byte)) {
	for q.Len() > 0 && !q.hasCapacity(len(datagram), limit, *budget) {
		dropped(q.pop(budget))
	}
	if !q.hasCapacity(len(datagram), limit, *budget) {
		dropped(datagram)
		return
	}
	q.datagrams = append(q.datagrams, datagram)
	q.bytes += len(datagram)
	budget.Count--
	budget.Bytes -= len(datagram)
}

func (q *Queue) hasCapacity(size int, limit QueueLimit, budget QueueBudget) bool {
	withinLimit := q.Len() < limit.Count && q.bytes+size <= limit.Bytes
	withinBudget := budget.Count >= 1 && budget.Bytes >= size
	return withinLimit && withinBudget
}

func (q *Queue) pop(budget *QueueBudget) []byte {
	datagram := q.datagrams[0]
	q.datagrams = q.datagrams[1:]
	q.bytes -= len(datagram)
	budget.Count++
	budget.Bytes += len(datagram)
	return datagram
}

// Drain empties the queue and delivers each datagram in order.
func (q *Queue) Drain(budget *QueueBudget, deliver func([]byte)) {
	for len(q.datagrams) > 0 {
		deliver(q.pop(budget))
	}
	q.datagrams = nil
}
