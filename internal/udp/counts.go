package udp

import "sync/atomic"

// Counts count datagrams and flows. In is the sum of Forwarded, of Dropped and of the datagrams
// that wait for a placement.
type Counts struct {
	In               atomic.Int64 // datagrams of clients
	Forwarded        atomic.Int64 // datagrams to endpoints
	Replies          atomic.Int64 // datagrams to clients
	UnmatchedReplies atomic.Int64 // datagrams of endpoints that belong to no flow, or were truncated

	// Dropped datagrams of clients.
	Full    atomic.Int64 // the table was full
	Limited atomic.Int64 // the source opened flows too fast
	Queue   atomic.Int64 // the queue was full
	Refused atomic.Int64 // the placement was rejected
	Unsent  atomic.Int64 // the write failed
	Gone    atomic.Int64 // the flow expired or was evicted while they waited

	// Flows.
	Opened   atomic.Int64
	Expired  atomic.Int64
	Evicted  atomic.Int64
	Replaced atomic.Int64 // lost their endpoint
	Silent   atomic.Int64 // of those replaced: the endpoint was silent

	ReadErrors atomic.Int64 // reads of replies that failed for a reason of this machine
}

// Dropped is how many datagrams of clients were dropped, for whatever reason.
func (c *Counts) Dropped() int64 {
	return c.Full.Load() + c.Limited.Load() + c.Queue.Load() + c.Refused.Load() + c.Unsent.Load() + c.Gone.Load()
}

type namedCount struct {
	name  string // in the log
	value *atomic.Int64
}

func (c *Counts) named() []namedCount {
	return []namedCount{
		{"in", &c.In},
		{"forwarded", &c.Forwarded},
		{"replies", &c.Replies},
		{"stray", &c.UnmatchedReplies},
		{"full", &c.Full},
		{"limited", &c.Limited},
		{"queue", &c.Queue},
		{"refused", &c.Refused},
		{"unsent", &c.Unsent},
		{"gone", &c.Gone},
		{"opened", &c.Opened},
		{"expired", &c.Expired},
		{"evicted", &c.Evicted},
		{"replaced", &c.Replaced},
		{"silent", &c.Silent},
		{"read_errors", &c.ReadErrors},
	}
}

// add adds the counts of another listener.
func (c *Counts) add(other *Counts) {
	sums := c.named()
	for i, count := range other.named() {
		sums[i].value.Add(count.value.Load())
	}
}
