package gossip

import (
	"errors"
	"fmt"

	"github.com/hashicorp/memberlist"
)

const (
	// directMessagePrefix begins a message to one member. Reports are JSON and begin otherwise.
	directMessagePrefix = 's'
	// maxDirectMessageBytes is the largest direct message, the prefix left out: a sample of
	// 4,096 cells takes less.
	maxDirectMessageBytes = 512 << 10
)

// errNotRunning is returned for a message before Run has created the cluster.
var errNotRunning = errors.New("fleet: gossip is not running yet")

// Send sends a message to one member, over a connection of its own, encrypted as all gossip. It
// may take some seconds if that member can't be reached.
func (m *Member) Send(name string, message []byte) error {
	m.mu.Lock()
	cluster := m.cluster
	m.mu.Unlock()
	if cluster == nil {
		return errNotRunning
	}
	if len(message) > maxDirectMessageBytes {
		return fmt.Errorf("fleet: message to member %s has %d bytes, more than %d",
			name, len(message), maxDirectMessageBytes)
	}
	for _, node := range cluster.Members() {
		if node.Name != name || node.State != memberlist.StateAlive {
			continue
		}
		if err := cluster.SendReliable(node, append([]byte{directMessagePrefix}, message...)); err != nil {
			return fmt.Errorf("fleet: send to member %s: %w", name, err)
		}
		return nil
	}
	return fmt.Errorf("fleet: member %s is not alive", name)
}

// deliver passes a direct message to OnMessage, and is false if it is not one.
func (m *Member) deliver(raw []byte) bool {
	if len(raw) == 0 || raw[0] != directMessagePrefix {
		return false
	}
	if m.OnMessage != nil && len(raw) <= maxDirectMessageBytes+1 {
		m.OnMessage(raw[1:])
	}
	return true
}
