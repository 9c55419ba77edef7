package dispatch

import "coralrelay/balance"

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
