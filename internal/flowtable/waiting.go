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
	list  [][]byte
	bytes int
}

// Len is how many wait.
func (w *Queue) Len() int { return len(w.list) }

// Put lets a datagram wait, which is then the queue's. Where there is no room the
// oldest of this flow make it, never those of another: dropped is told of each, and
// of the datagram itself if there is no room for it at all.
func (w *Queue) Put(d []byte, b QueueLimit, r *QueueBudget, dropped func([]byte)) {
	for len(w.list) > 0 && (len(w.list) >= b.Count || w.bytes+len(d) > b.Bytes || r.Count < 1 || r.Bytes < len(d)) {
		dropped(w.take(r))
	}
	if b.Count < 1 || len(d) > b.Bytes || r.Count < 1 || r.Bytes < len(d) {
		dropped(d)
		return
	}
	w.list = append(w.list, d)
	w.bytes += len(d)
	r.Count--
	r.Bytes -= len(d)
}

func (w *Queue) take(r *QueueBudget) []byte {
	d := w.list[0]
	w.list = w.list[1:]
	w.bytes -= len(d)
	r.Count++
	r.Bytes += len(d)
	return d
}

// Drain hands over all that wait, in order.
func (w *Queue) Drain(r *QueueBudget, to func([]byte)) {
	for len(w.list) > 0 {
		to(w.take(r))
	}
	w.list = nil
}
