package fake

import "time"

// ListChange is a change of one server that discovery has had since a time.
type ListChange struct {
	At         time.Time
	Generation int64
	Server     string
	Lifecycle  string
}

// Write is what discovery has written to a node: all changes up to a generation.
type Write struct {
	At         time.Time
	Generation int64
}

// Changes are all changes of a server, in order.
func (d *Discovery) Changes(server string) (changes []ListChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.changes {
		if c.instance.ID == server {
			changes = append(changes, ListChange{c.at, c.generation, server, c.instance.Lifecycle})
		}
	}
	return changes
}

// Writes are what was written to a node, in order.
func (d *Discovery) Writes(node string) []Write {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Write(nil), d.writes[node]...)
}

// NotifiedAt is when node was notified that the server drains or is gone. It is zero if it was not,
// or has been notified since that the server is back.
func (d *Discovery) NotifiedAt(node, server string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notifiedAt[node][server]
}

// recordNotified records what a node was sent.
func (d *Discovery) recordNotified(node string, sent update) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes[node] = append(d.writes[node], Write{now, sent.Generation})
	for _, instance := range sent.Instances {
		if instance.Lifecycle == Active {
			delete(d.notifiedAt[node], instance.ID)
		} else if d.notifiedAt[node][instance.ID].IsZero() {
			d.notifiedAt[node][instance.ID] = now
		}
	}
}
