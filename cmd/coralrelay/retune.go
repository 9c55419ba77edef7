package main

import (
	"log/slog"
	"os"
	"sync"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/config"
	"coralrelay/internal/discovery"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/downstream"
	"coralrelay/internal/metrics"
	platform "coralrelay/internal/settings"
	"coralrelay/internal/upstream"
)

// live is the platform's configuration that is in force, and who goes by it.
type live struct {
	core   *dispatch.EventLoop
	hops   *upstream.Pool
	server *downstream.Server
	watch  *discovery.Watcher
	book   *metrics.Registry

	mu      sync.Mutex
	current config.Config
}

// take brings a configuration into force with the parts that count and bound by it, under
// the lock if they are at work.
func (l *live) take(c config.Config) {
	names := []string{}
	for _, class := range c.Settings.Classes {
		names = append(names, class.Name)
	}
	l.book.AddClasses(names...) // before anybody is served by them
	l.hops.SetLimits(hopLimits(c.Settings))
	l.server.SetRetryAfter(pause(c.Settings.Limits))
	l.current = c
}

// beside is told whether another process places for this node too.
func (l *live) beside(lives bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current.Settings.Processes = 1
	if lives {
		l.current.Settings.Processes = 2
	}
	l.core.UpdateSettings(l.current.Settings)
}

// reload reads the platform's configuration again: all of a file takes force, or none.
func (l *live) reload() {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	next, fixed, err := c.Reload(os.Getenv)
	if err != nil {
		l.book.ConfigsRejected.Add(1)
		slog.Error("reload: the old configuration stays", "err", err)
		return
	}
	if len(fixed) > 0 {
		slog.Warn("reload: these keys change with a restart only", "keys", fixed)
	}
	next.Settings = platform.ForWatch(next.Settings)
	next.Settings.Processes = c.Settings.Processes // not the file's to say
	l.take(next)
	l.core.UpdateSettings(next.Settings)
	l.watch.SetAddress(next.Discovery)
	l.book.ConfigsAccepted.Add(1)
	slog.Info("reloaded", "discovery", next.Discovery, "was", c.Discovery, "classes", len(next.Settings.Classes))
}

// longest is the longest deadline of a class.
func (l *live) longest() (d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, class := range l.current.Settings.Classes {
		d = max(d, class.Deadline)
	}
	return d
}

// hopLimits are the bounds that settings set for what is spent on a next hop.
func hopLimits(s balance.Settings) upstream.Limits {
	return upstream.Limits{ConnectTimeout: s.Limits.ConnectTimeout, ProbeTimeout: probeWait, DrainGrace: s.Rules.DrainGrace}
}
