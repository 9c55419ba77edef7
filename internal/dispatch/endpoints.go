package dispatch

import (
	"time"

	"coralrelay/balance"
)

// UpdateListLease reports until when the endpoint list may be used. The zero time means that it does
// not expire.
func (l *EventLoop) UpdateListLease(expiresAt time.Time) {
	l.post(func() {
		lease := balance.ListLease{}
		if !expiresAt.IsZero() {
			lease.ExpiresAt = l.clock.At(expiresAt)
		}
		l.handle(lease)
	})
}

// UpdateEndpoints reports an update of the endpoint list by discovery.
func (l *EventLoop) UpdateEndpoints(update balance.ListUpdate) {
	l.post(func() {
		l.trackListed(update)
		l.handle(update)
	})
}

// trackListed updates the set of servers in the endpoint list. A cached list is ignored because it
// may be out of date.
func (l *EventLoop) trackListed(update balance.ListUpdate) {
	switch update.Kind {
	case balance.ListFailed, balance.ListCached:
		return
	case balance.ListFull:
		l.listedServers = map[string]bool{}
	}
	if l.listedServers == nil {
		return // changes to a list that has not been received
	}
	for _, entry := range update.Entries {
		if entry.State == balance.Gone {
			delete(l.listedServers, entry.ID)
		} else {
			l.listedServers[entry.ID] = true
		}
	}
}
