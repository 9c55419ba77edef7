package udp

import "sync/atomic"

// Counts are a listener's counters of datagrams and flows. In equals the sum of Forwarded, Dropped
// and the datagrams that wait for a placement.
type Counts struct {
	In               atomic.Int64 // datagrams received from clients
	Forwarded        atomic.Int64 // datagrams sent to endpoints
	Replies          atomic.Int64 // datagrams sent to clients
	UnmatchedReplies atomic.Int64 // datagrams from endpoints that match no flow or were truncated

	// Datagrams from clients that were dropped, by reason.
	Full    atomic.Int64 // the table was full
	Limited atomic.Int64 // the source exceeded its rate of new flows
	Queue   atomic.Int64 // the flow's queue or the queue budget was full
	Refused atomic.Int64 // the placement was rejected
	Unsent  atomic.Int64 // the write failed
	Gone    atomic.Int64 // the flow expired or was evicted before its placement

	// Flows.
	Opened   atomic.Int64
	Expired  atomic.Int64
	Evicted  atomic.Int64
	Replaced atomic.Int64 // flows that lost their endpoint
	Silent   atomic.Int64 // replaced flows whose endpoint was silent

	ReadErrors atomic.Int64 // reads of replies that failed for a local reason
}

// Dropped returns the number of datagrams from clients that were dropped for any reason.
func (c *Counts) Dropped() int64 {
	return c.Full.Load() + c.Limited.Load() + c.Queue.Load() +
		c.Refused.Load() + c.Unsent.Load() + c.Gone.Load()
}

type namedCount struct {
	name  string // attribute in the log
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

// add adds the counts of another listener to c.
func (c *Counts) add(other *Counts) {
	sums := c.named()
	for i, count := range other.named() {
		sums[i].value.Add(count.value.Load())
	}
}
