package discovery

import (
	"log/slog"
	"time"

	"coralrelay/internal/listlease"
)

// expiredLogInterval is how often a line says that the list may not be relied on, while that is so.
const expiredLogInterval = 5 * time.Second

// SetTerms sets what of the settings the list's lease goes by. It may be called from any goroutine.
func (w *Watcher) SetTerms(terms listlease.Terms) {
	w.terms.Store(&terms)
	signal(w.termsChanged)
}

// currentTerms are the terms that were set last.
func (w *Watcher) currentTerms() listlease.Terms {
	if terms := w.terms.Load(); terms != nil {
		return *terms
	}
	return listlease.Terms{}
}

// startLease begins the lease of a process that starts with a cached list.
func (w *Watcher) startLease(cached Update) {
	w.lease = listlease.Start(time.Now(), w.currentTerms(), cached.Generation, len(cached.Endpoints) > 0)
	w.publishLease()
}

// confirmList notes that the list in use was the service's at a time.
func (w *Watcher) confirmList(at time.Time) {
	w.lease.Confirm(at, w.lastGeneration)
	w.publishLease()
}

// publishLease tells everybody what the lease says now.
func (w *Watcher) publishLease() {
	status := w.lease.Status()
	w.status.Store(&status)
	w.scheduleExpiry(status)
	if w.OnLease != nil {
		w.OnLease(status)
	}
}

// scheduleExpiry sets when the end of the lease is noticed, and says when one has been renewed.
func (w *Watcher) scheduleExpiry(status listlease.Status) {
	now := time.Now()
	if !w.expiredSince.IsZero() && status.MayRely(now) {
		slog.Info("endpoint list may be relied on again", "component", "discovery", "generation", status.Generation,
			"expired_ms", now.Sub(w.expiredSince).Milliseconds())
		w.expiredSince = time.Time{}
	}
	if !status.ExpiresAt.IsZero() && w.expiredSince.IsZero() {
		w.expiry.Reset(max(0, status.ExpiresAt.Sub(now)))
	}
}

// logExpired says that the lease has ended, or still has.
func (w *Watcher) logExpired() {
	now, status := time.Now(), w.Status()
	if status.MayRely(now) {
		return // it was renewed meanwhile, and its timer is set
	}
	if w.expiredSince.IsZero() {
		w.expiredSince = status.ExpiresAt
	}
	slog.Warn("endpoint list may not be relied on: discovery does not confirm it", "component", "discovery",
		"generation", status.Generation, "list_age_ms", status.Age(now).Milliseconds(),
		"expired_ms", now.Sub(w.expiredSince).Milliseconds())
	w.expiry.Reset(expiredLogInterval)
}

// Status is what is known of the list now. It may be called from any goroutine.
func (w *Watcher) Status() listlease.Status {
	if status := w.status.Load(); status != nil {
		return *status
	}
	return listlease.Status{}
}
