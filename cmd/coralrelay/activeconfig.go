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
type activeConfig struct {
	eventLoop *dispatch.EventLoop
	pool      *upstream.Pool
	server    *downstream.Server
	watcher   *discovery.Watcher
	metrics   *metrics.Registry

	mu      sync.Mutex
	current config.Config
}

// take brings a configuration into force with the parts that count and bound by it, under
// the lock if they are at work.
func (a *activeConfig) apply(cfg config.Config) {
	classNames := []string{}
	for _, class := range cfg.Settings.Classes {
		classNames = append(classNames, class.Name)
	}
	a.metrics.AddClasses(classNames...) // before anybody is served by them
	a.pool.SetLimits(upstreamLimits(cfg.Settings))
	a.server.SetRetryAfter(retryAfter(cfg.Settings.Limits))
	a.current = cfg
}

// beside is told whether another process places for this node too.
func (a *activeConfig) setSiblingAlive(alive bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current.Settings.Processes = 1
	if alive {
		a.current.Settings.Processes = 2
	}
	a.eventLoop.UpdateSettings(a.current.Settings)
}

// reload reads the platform's configuration again: all of a file takes force, or none.
func (a *activeConfig) reload() {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.current
	next, fixed, err := current.Reload(os.Getenv)
	if err != nil {
		a.metrics.ConfigsRejected.Add(1)
		slog.Error("reload: the old configuration stays", "err", err)
		return
	}
	if len(fixed) > 0 {
		slog.Warn("reload: these keys change with a restart only", "keys", fixed)
	}
	next.Settings = platform.ForWatch(next.Settings)
	next.Settings.Processes = current.Settings.Processes // not the file's to say
	a.apply(next)
	a.eventLoop.UpdateSettings(next.Settings)
	a.watcher.SetAddress(next.Discovery)
	a.metrics.ConfigsAccepted.Add(1)
	slog.Info("reloaded", "discovery", next.Discovery, "was", current.Discovery, "classes", len(next.Settings.Classes))
}

// longest is the longest deadline of a class.
func (a *activeConfig) longestDeadline() (longest time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, class := range a.current.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// hopLimits are the bounds that settings set for what is spent on a next hop.
func upstreamLimits(settings balance.Settings) upstream.Limits {
	return upstream.Limits{ConnectTimeout: settings.Limits.ConnectTimeout, ProbeTimeout: probeTimeout, DrainGrace: settings.Rules.DrainGrace}
}
