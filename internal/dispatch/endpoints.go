package dispatch

import (
	"time"

	"coralrelay/balance"
)

// UpdateListLease reports until when the endpoint list may be used. The zero time means that it does
// not expire. It blocks while the previous update of the list or its lease is unhandled.
func (l *EventLoop) UpdateListLease(expiresAt time.Time) {
	l.postListUpdate(func() {
		lease := balance.ListLease{}
		if !expiresAt.IsZero() {
			lease.ExpiresAt = l.clock.At(expiresAt)
		}
		l.handle(lease)
	})
}

// UpdateEndpoints reports an update of the endpoint list by discovery. It blocks while the previous
// update of the list or its lease is unhandled.
func (l *EventLoop) UpdateEndpoints(update balance.ListUpdate) {
	l.postListUpdate(func() {
		l.trackListed(update)
		l.handle(update)
	})
}

// postListUpdate queues f once the previous list update has been handled, so that no more than one is
// queued: discovery cannot fill the inbox, where lists would take memory and clients would wait behind
// them.
func (l *EventLoop) postListUpdate(f func()) {
	select {
	case l.listUpdate <- struct{}{}:
	case <-l.done:
		return
	}
	l.post(func() {
		f()
		<-l.listUpdate
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
