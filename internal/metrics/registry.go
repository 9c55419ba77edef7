// Package metrics keeps the counters that the operators' INFO request returns, by class and since
// the start of the process. A counter is incremented atomically at the point where its event
// occurs. The package starts no goroutine and returns no errors.
//
// Metric names keep the words of the operators' documentation: throttled, faulted and relayed. The
// code calls the same events rejected, failed and forwarded.
package metrics

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Metric types of the text format, as in statsd.
const (
	counter byte = 'c'
	gauge   byte = 'g'
)

// Class counts the connections of one class. A nil Class counts nothing; it stands for a class that
// no configuration has named.
type Class struct {
	name      string
	fulfilled atomic.Int64
	rejected  atomic.Int64
	failed    atomic.Int64
	forwarded *atomic.Int64 // shared by all classes
}

// Fulfilled counts a connection that was established.
func (c *Class) Fulfilled() {
	if c != nil {
		c.fulfilled.Add(1)
	}
}

// Rejected counts a connection that was answered as busy.
func (c *Class) Rejected() {
	if c != nil {
		c.rejected.Add(1)
	}
}

// Failed counts a connection that was answered as failed.
func (c *Class) Failed() {
	if c != nil {
		c.failed.Add(1)
	}
}

// Forwarded counts an attempt whose first line was written completely to an endpoint.
func (c *Class) Forwarded() {
	if c != nil {
		c.forwarded.Add(1)
	}
}

// Registry holds the counters of all classes that any configuration has named. Its zero value is
// ready to use. It is safe for concurrent use.
type Registry struct {
	forwarded       atomic.Int64
	ConfigsAccepted atomic.Int64 // configuration files that a reload applied
	ConfigsRejected atomic.Int64 // configuration files that a reload rejected

	mu      sync.Mutex
	classes []*Class // in the order in which they were added; never removed
}

// AddClasses adds a counter set for each name. Classes that are already present keep their counts.
func (r *Registry) AddClasses(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if r.find(name) == nil {
			r.classes = append(r.classes, &Class{name: name, forwarded: &r.forwarded})
		}
	}
}

// Class returns the counters of a class, or nil if the registry is nil or has no such class.
func (r *Registry) Class(name string) *Class {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.find(name)
}

// find returns the counters of a class, or nil if there are none. The caller holds mu.
func (r *Registry) find(name string) *Class {
	i := slices.IndexFunc(r.classes, func(c *Class) bool { return c.name == name })
	if i < 0 {
		return nil
	}
	return r.classes[i]
}

// Gauges are the values that are sampled when the metrics are read.
type Gauges struct {
	OpenSessions     int
	AcceptQueue      int           // connections that wait to be accepted
	AcceptWait       time.Duration // of the last accepted connection, since its last byte or its connect
	ListedEndpoints  int
	AvoidedEndpoints int // listed endpoints that are excluded from all or most draws
	List             List
	Rejections       []Count // rejected requests, by reason
	ExceededLimits   []Count // input that exceeded a limit, by limit
}

// List describes the state of the endpoint list.
type List struct {
	Age   time.Duration // since the list was last confirmed; negative if it never was
	Calls []Count       // completed discovery calls, by outcome
}

// Count is the value of one label of a metric, such as a reason or an outcome.
type Count struct {
	Name  string
	Value int64
}

// Text returns all metrics, one per line, each terminated by CRLF.
func (r *Registry) Text(gauges Gauges) string {
	r.mu.Lock()
	classes := r.classes
	r.mu.Unlock()
	var text strings.Builder
	write := func(name string, value int64, kind byte) {
		fmt.Fprintf(&text, "balancer.%s:%d|%c\r\n", name, value, kind)
	}
	for _, class := range classes {
		prefix := "operations." + strings.Map(sanitizeRune, class.name)
		write(prefix+".fulfilled", class.fulfilled.Load(), counter)
		write(prefix+".throttled", class.rejected.Load(), counter)
		write(prefix+".faulted", class.failed.Load(), counter)
	}
	write("relayed", r.forwarded.Load(), counter)
	write("open_requests", int64(gauges.OpenSessions), gauge)
	write("registry_entries", int64(gauges.ListedEndpoints), gauge)
	write("out_of_rotation", int64(gauges.AvoidedEndpoints), gauge)
	write("cfg_accepted", r.ConfigsAccepted.Load(), counter)
	write("cfg_invalid", r.ConfigsRejected.Load(), counter)
	write("registry_age_ms", gauges.List.Age.Milliseconds(), gauge)
	for _, calls := range gauges.List.Calls {
		write("registry_calls."+calls.Name, calls.Value, counter)
	}
	write("accept_queue", int64(gauges.AcceptQueue), gauge)
	write("accept_wait_ms", gauges.AcceptWait.Milliseconds(), gauge)
	for _, rejections := range gauges.Rejections {
		write("rejections."+rejections.Name, rejections.Value, counter)
	}
	for _, limits := range gauges.ExceededLimits {
		write("input_limits."+limits.Name, limits.Value, counter)
	}
	return text.String()
}

// sanitizeRune replaces characters that would break the line format or are not printable ASCII.
func sanitizeRune(r rune) rune {
	if r <= ' ' || r > '~' || r == ':' || r == '|' {
		return '_'
	}
	return r
}
