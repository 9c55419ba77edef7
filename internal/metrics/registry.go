// Package figures counts what operators ask for: by class, for as long as the process
// lives. Counting is an atomic add, where the thing counted has happened.
package metrics

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Class counts the connections of one class. A nil Class counts nothing: that of what
// no settings ever named.
type Class struct {
	name                          string
	fulfilled, throttled, faulted atomic.Int64
	relayed                       *atomic.Int64
}

// Fulfilled counts a connection brought up.
func (c *Class) Fulfilled() {
	if c != nil {
		c.fulfilled.Add(1)
	}
}

// Throttled counts one refused.
func (c *Class) Rejected() {
	if c != nil {
		c.throttled.Add(1)
	}
}

// Faulted counts one failed.
func (c *Class) Failed() {
	if c != nil {
		c.faulted.Add(1)
	}
}

// Relayed counts an attempt written whole to a next hop.
func (c *Class) Forwarded() {
	if c != nil {
		c.relayed.Add(1)
	}
}

// Book holds the counts of all classes that settings have named.
type Registry struct {
	relayed                          atomic.Int64
	ConfigsAccepted, ConfigsRejected atomic.Int64 // configuration files taken, and turned down

	mu      sync.Mutex
	classes []*Class // in order of appearance; never dropped
}

// Name has the book keep classes of these names; the counts of those that it has stay.
func (b *Registry) AddClasses(names ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names {
		if b.find(name) == nil {
			b.classes = append(b.classes, &Class{name: name, relayed: &b.relayed})
		}
	}
}

// Class returns the counts of a class, or nil.
func (b *Registry) Class(name string) *Class {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.find(name)
}

func (b *Registry) find(name string) *Class {
	if i := slices.IndexFunc(b.classes, func(c *Class) bool { return c.name == name }); i >= 0 {
		return b.classes[i]
	}
	return nil
}

// Gauges are what stands at the moment.
type Gauges struct{ OpenSessions, ListedEndpoints, AvoidedEndpoints int }

// Text words the figures, a line each.
func (b *Registry) Text(g Gauges) string {
	b.mu.Lock()
	classes := b.classes
	b.mu.Unlock()
	var w strings.Builder
	line := func(name string, n int64, kind byte) { fmt.Fprintf(&w, "balancer.%s:%d|%c\r\n", name, n, kind) }
	for _, c := range classes {
		at := "operations." + strings.Map(sanitizeRune, c.name)
		line(at+".fulfilled", c.fulfilled.Load(), 'c')
		line(at+".throttled", c.throttled.Load(), 'c')
		line(at+".faulted", c.faulted.Load(), 'c')
	}
	line("relayed", b.relayed.Load(), 'c')
	line("open_requests", int64(g.OpenSessions), 'g')
	line("registry_entries", int64(g.ListedEndpoints), 'g')
	line("out_of_rotation", int64(g.AvoidedEndpoints), 'g')
	line("cfg_accepted", b.ConfigsAccepted.Load(), 'c')
	line("cfg_invalid", b.ConfigsRejected.Load(), 'c')
	return w.String()
}

// plain keeps a class's name from breaking the line that it stands in.
func sanitizeRune(r rune) rune {
	if r <= ' ' || r > '~' || r == ':' || r == '|' {
		return '_'
	}
	return r
}
