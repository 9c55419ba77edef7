package flowtable

// Room bounds the datagrams that wait for decisions, in all flows together.
type QueueBudget struct {
	Count, Bytes int // that may still wait
}

// Bounds are those of one flow's queue.
type QueueLimit struct{ Count, Bytes int }

// Waiting is the datagrams of one flow that wait for a decision, the oldest first.
// Its zero value is empty.
type Queue struct {
	datagrams [][]byte
	bytes     int
}

// Len is how many wait.
func (w *Queue) Len() int { return len(w.datagrams) }

// Put lets a datagram wait, which is then the queue's. Where there is no room the
// oldest of this flow make it, never those of another: dropped is told of each, and
// of the datagram itself if there is no room for it at all.
func (w *Queue) Put(datagram []byte, limit QueueLimit, budget *QueueBudget, dropped func([]byte)) {
	for len(w.datagrams) > 0 && (len(w.datagrams) >= limit.Count || w.bytes+len(datagram) > limit.Bytes || budget.Count < 1 || budget.Bytes < len(datagram)) {
		dropped(w.pop(budget))
	}
	if limit.Count < 1 || len(datagram) > limit.Bytes || budget.Count < 1 || budget.Bytes < len(datagram) {
		dropped(datagram)
		return
	}
	w.datagrams = append(w.datagrams, datagram)
	w.bytes += len(datagram)
	budget.Count--
	budget.Bytes -= len(datagram)
}

func (w *Queue) pop(budget *QueueBudget) []byte {
	datagram := w.datagrams[0]
	w.datagrams = w.datagrams[1:]
	w.bytes -= len(datagram)
	budget.Count++
	budget.Bytes += len(datagram)
	return datagram
}

// Drain hands over all that wait, in order.
func (w *Queue) Drain(budget *QueueBudget, deliver func([]byte)) {
	for len(w.datagrams) > 0 {
		deliver(w.pop(budget))
	}
	w.datagrams = nil
}
