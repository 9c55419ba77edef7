package discovery

import (
	"log/slog"
	"time"

	"coralrelay/internal/listlease"
)

// expiredLogInterval is the interval between log lines while the lease of the list is expired.
const expiredLogInterval = 5 * time.Second

// SetTerms sets the settings that determine the lease of the list. It may be called from any
// goroutine.
func (w *Watcher) SetTerms(terms listlease.Terms) {
	w.terms.Store(&terms)
	signal(w.termsChanged)
}

// currentTerms returns the terms that were set last.
func (w *Watcher) currentTerms() listlease.Terms {
	if terms := w.terms.Load(); terms != nil {
		return *terms
	}
	return listlease.Terms{}
}

// startLease starts the lease of a process that begins with a cached list.
func (w *Watcher) startLease(cached Update) {
	w.lease = listlease.New(time.Now(), w.currentTerms(), cached.Generation, len(cached.Endpoints) > 0)
	w.publishLease()
}

// confirmList records that the current list was the discovery service's at the given time.
func (w *Watcher) confirmList(at time.Time) {
	w.lease.Confirm(at, w.lastGeneration)
	w.publishLease()
}

// publishLease publishes the current state of the lease and calls OnLease.
func (w *Watcher) publishLease() {
	status := w.lease.Status()
	w.status.Store(&status)
	w.scheduleExpiry(status)
	if w.OnLease != nil {
		w.OnLease(status)
	}
}

// scheduleExpiry sets the timer for the end of the lease, and logs that an expired lease has been
// renewed.
func (w *Watcher) scheduleExpiry(status listlease.Status) {
	now := time.Now()
	if !w.expiredSince.IsZero() && status.IsValid(now) {
		slog.Info("endpoint list may be relied on again", "component", "discovery", "generation", status.Generation,
			"expired_ms", now.Sub(w.expiredSince).Milliseconds())
		w.expiredSince = time.Time{}
	}
	if !status.ExpiresAt.IsZero() && w.expiredSince.IsZero() {
		w.expiry.Reset(max(0, status.ExpiresAt.Sub(now)))
	}
}

// logExpired logs that the lease has expired, and again at each expiredLogInterval until it is
// renewed.
func (w *Watcher) logExpired() {
	now, status := time.Now(), w.Status()
	if status.IsValid(now) {
		return // renewed in the meantime; the timer is set already
	}
	if w.expiredSince.IsZero() {
		w.expiredSince = status.ExpiresAt
	}
	slog.Warn("endpoint list may not be relied on: discovery does not confirm it", "component", "discovery",
		"generation", status.Generation, "list_age_ms", status.Age(now).Milliseconds(),
		"expired_ms", now.Sub(w.expiredSince).Milliseconds())
	w.expiry.Reset(expiredLogInterval)
}

// Status returns the current state of the list. It may be called from any goroutine.
func (w *Watcher) Status() listlease.Status {
	if status := w.status.Load(); status != nil {
		return *status
	}
	return listlease.Status{}
}
