package dispatch

import (
	"time"

	"coralrelay/balance"
)

// UpdateListLease reports until when the endpoint list may be relied on; the zero time is for ever.
func (l *EventLoop) UpdateListLease(expiresAt time.Time) {
	l.post(func() {
		lease := balance.ListLease{}
		if !expiresAt.IsZero() {
			lease.ExpiresAt = l.clock.At(expiresAt)
		}
		l.handle(lease)
	})
}

// UpdateEndpoints reports what discovery has said of the endpoint list.
func (l *EventLoop) UpdateEndpoints(update balance.ListUpdate) {
	l.post(func() {
		l.trackListed(update)
		l.handle(update)
	})
}

// trackListed keeps the set of servers in discovery's list. A cached list may be old and does
// not count.
func (l *EventLoop) trackListed(update balance.ListUpdate) {
	switch update.Kind {
	case balance.ListFailed, balance.ListCached:
		return
	case balance.ListFull:
		l.listedServers = map[string]bool{}
	}
	if l.listedServers == nil {
		return // changes to a list that has not come
	}
	for _, entry := range update.Entries {
		if entry.State == balance.Gone {
			delete(l.listedServers, entry.ID)
		} else {
			l.listedServers[entry.ID] = true
		}
	}
}
