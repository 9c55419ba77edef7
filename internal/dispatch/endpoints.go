package dispatch

// What the roster says of the next hops.

import "coralrelay/balance"

// Listed is told what the roster says.
func (l *EventLoop) UpdateEndpoints(update balance.ListUpdate) {
	l.post(func() {
		l.trackListed(update)
		l.handle(update)
	})
}

// named notes which next hops the roster names. What the node had last may be old, and
// doesn't count.
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
