package fake

import "time"

// ListChange is a change of one server in the endpoint list, with the time at which discovery got it.
type ListChange struct {
	At         time.Time
	Generation int64
	Server     string
	Lifecycle  string
}

// Write records that discovery has written all changes up to a generation to a node.
type Write struct {
	At         time.Time
	Generation int64
}

// Changes returns all changes of a server, in order.
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

// Writes returns the writes to a node, in order.
func (d *Discovery) Writes(node string) []Write {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Write(nil), d.writes[node]...)
}

// NotifiedAt returns the time at which a node was notified that a server drains or has left. It is zero
// if the node was not notified, or was notified later that the server is active again.
func (d *Discovery) NotifiedAt(node, server string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notifiedAt[node][server]
}

// recordNotified records an update that was sent to a node.
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
