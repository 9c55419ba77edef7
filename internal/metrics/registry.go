// Package metrics counts what operators read with INFO: by class, for as long as the
// process lives. Counting is an atomic add, done where the counted thing has happened. It
// starts no goroutine and has no errors.
//
// The names in the text are those that the operators' pages have had from the start
// (throttled, faulted, relayed); the code says rejected, failed and forwarded.
package metrics

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Types of a metric in the text, as in statsd.
const (
	counter byte = 'c'
	gauge   byte = 'g'
)

// Class counts the connections of one class. A nil Class counts nothing: it stands for a
// class that no settings ever named.
type Class struct {
	name      string
	fulfilled atomic.Int64
	rejected  atomic.Int64
	failed    atomic.Int64
	forwarded *atomic.Int64 // of all classes together
}

// Fulfilled counts a connection that was established.
func (c *Class) Fulfilled() {
	if c != nil {
		c.fulfilled.Add(1)
	}
}

// Rejected counts one that was answered as busy.
func (c *Class) Rejected() {
	if c != nil {
		c.rejected.Add(1)
	}
}

// Failed counts one that was answered as failed.
func (c *Class) Failed() {
	if c != nil {
		c.failed.Add(1)
	}
}

// Forwarded counts an attempt whose first line was written whole to an endpoint.
func (c *Class) Forwarded() {
	if c != nil {
		c.forwarded.Add(1)
	}
}

// Registry holds the counts of all classes that settings have named. Its zero value is
// ready to use, by several goroutines at once.
type Registry struct {
	forwarded       atomic.Int64
	ConfigsAccepted atomic.Int64 // configuration files that took force on a reload
	ConfigsRejected atomic.Int64 // configuration files that a reload turned down

	mu      sync.Mutex
	classes []*Class // in order of appearance; never dropped
}

// AddClasses makes the registry count classes of these names. Classes that it has already
// keep their counts.
func (r *Registry) AddClasses(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if r.find(name) == nil {
			r.classes = append(r.classes, &Class{name: name, forwarded: &r.forwarded})
		}
	}
}

// Class returns the counts of a class, or nil where the registry is nil or has no such class.
func (r *Registry) Class(name string) *Class {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.find(name)
}

// find returns the counts of a class or nil, under the lock.
func (r *Registry) find(name string) *Class {
	i := slices.IndexFunc(r.classes, func(c *Class) bool { return c.name == name })
	if i < 0 {
		return nil
	}
	return r.classes[i]
}

// Gauges are numbers of the moment.
type Gauges struct {
	OpenSessions     int
	AcceptQueue      int           // connections that wait to be accepted
	AcceptWait       time.Duration // how long the last one that was accepted had waited, or had been silent
	ListedEndpoints  int
	AvoidedEndpoints int // listed, and left out of all or most draws
	List             List
	Rejections       []Count // requests that were given up, by reason
}

// List is what is known of the endpoint list.
type List struct {
	Age   time.Duration // since it was last confirmed; negative if it never was
	Calls []Count       // calls of discovery that have ended, by outcome
}

// Count is one of several counts of a kind.
type Count struct {
	Name  string
	Value int64
}

// Text formats all metrics, one a line, each line with its end.
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
	return text.String()
}

// sanitizeRune keeps a class's name from breaking the line that it stands in.
func sanitizeRune(r rune) rune {
	if r <= ' ' || r > '~' || r == ':' || r == '|' {
		return '_'
	}
	return r
}
