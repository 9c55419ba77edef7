package dispatch

// What the roster says of the next hops.

import "coralrelay/balance"

// Listed is told what the roster says.
func (c *EventLoop) UpdateEndpoints(u balance.ListUpdate) {
	c.post(func() {
		c.named(u)
		c.handle(u)
	})
}

// named notes which next hops the roster names. What the node had last may be old, and
// doesn't count.
func (c *EventLoop) named(u balance.ListUpdate) {
	switch u.Kind {
	case balance.ListFailed, balance.ListCached:
		return
	case balance.ListFull:
		c.listed = map[string]bool{}
	}
	if c.listed == nil {
		return // changes to a list that has not come
	}
	for _, s := range u.Entries {
		if s.State == balance.Gone {
			delete(c.listed, s.ID)
		} else {
			c.listed[s.ID] = true
		}
	}
}
