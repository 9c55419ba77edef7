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
	"coralrelay/internal/listlease"
	"coralrelay/internal/metrics"
	"coralrelay/internal/neterr"
	"coralrelay/internal/settings"
	"coralrelay/internal/upstream"
)

// probeTimeout bounds one load probe. It is longer than a busy endpoint takes to answer, and shorter
// than the interval after which the decision module probes an endpoint again.
const probeTimeout = 500 * time.Millisecond

// activeConfig holds the platform configuration in force and the components that it configures.
type activeConfig struct {
	eventLoop *dispatch.EventLoop
	pool      *upstream.Pool
	server    *downstream.Server
	watcher   *discovery.Watcher
	metrics   *metrics.Registry

	mu      sync.Mutex
	current config.Config
}

// apply passes cfg to the components that measure and limit by it, and makes it the current
// configuration. Once the node's goroutines run, the caller must hold a.mu.
func (a *activeConfig) apply(cfg config.Config) {
	classNames := []string{}
	for _, class := range cfg.Settings.Classes {
		classNames = append(classNames, class.Name)
	}
	a.metrics.AddClasses(classNames...) // before a request is served as one of a new class
	a.pool.SetLimits(upstreamLimits(cfg.Settings))
	a.watcher.SetInstances(cfg.Settings.Instances)
	a.watcher.SetTerms(listlease.Terms{DrainGrace: cfg.Settings.Rules.DrainGrace, Pushed: cfg.Settings.ListPushed})
	a.server.SetRetryAfter(retryAfter(cfg.Settings.Limits))
	a.current = cfg
}

// setSiblingAlive tells the event loop whether a sibling process also makes placements for this node.
func (a *activeConfig) setSiblingAlive(alive bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current.Settings.Processes = 1
	if alive {
		a.current.Settings.Processes = 2
	}
	a.eventLoop.UpdateSettings(a.current.Settings)
}

// reload reads the platform configuration again and applies it as a whole; an invalid file is logged
// and changes nothing. It returns an error only if no descriptor was free to open the file, so that the
// caller can retry.
func (a *activeConfig) reload() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.current
	next, restartKeys, err := current.Reload(os.Getenv)
	if neterr.IsExhausted(err) {
		return err
	}
	if err != nil {
		a.metrics.ConfigsRejected.Add(1)
		slog.Error("configuration reload rejected, the old one stays", "component", componentReload, "error", err)
		return nil
	}
	if len(restartKeys) > 0 {
		slog.Warn("changed keys need a restart", "component", componentReload, "keys", restartKeys)
	}
	next.Settings = settings.ForWatch(next.Settings)
	next.Settings.Processes = current.Settings.Processes // set at run time, not in the file
	next.Settings.Limits.ProbeConnections = current.Settings.Limits.ProbeConnections
	a.apply(next)
	a.eventLoop.UpdateSettings(next.Settings)
	a.watcher.SetAddress(next.Discovery)
	a.metrics.ConfigsAccepted.Add(1)
	slog.Info("configuration reloaded", "component", componentReload, "discovery", next.Discovery,
		"previous_discovery", current.Discovery, "classes", len(next.Settings.Classes))
	return nil
}

// longestDeadline returns the longest deadline of any class.
func (a *activeConfig) longestDeadline() (longest time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, class := range a.current.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// upstreamLimits returns the limits that the settings set for connections to endpoints.
func upstreamLimits(s balance.Settings) upstream.Limits {
	return upstream.Limits{
		ConnectTimeout: s.Limits.ConnectTimeout,
		ProbeTimeout:   probeTimeout,
		DrainGrace:     s.Rules.DrainGrace,
	}
}
