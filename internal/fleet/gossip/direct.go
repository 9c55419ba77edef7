package gossip

import (
	"errors"
	"fmt"

	"github.com/hashicorp/memberlist"
)

const (
	// kindSample begins a message that is not for all. Reports are JSON, and begin otherwise.
	directMessagePrefix = 's'
	// largestSample bounds such a message: 4,096 cells, amply.
	maxDirectMessageBytes = 512 << 10
)

// Tell sends a message to one member, over a connection of its own, encrypted as all that
// members say. It may take some seconds where that member can't be reached.
func (m *Member) Send(name string, message []byte) error {
	m.mu.Lock()
	cluster := m.cluster
	m.mu.Unlock()
	if cluster == nil {
		return errors.New("fleet: this member has not met the others yet")
	}
	if len(message) > maxDirectMessageBytes {
		return fmt.Errorf("fleet: a message of %d bytes to %s, at most %d are sent", len(message), name, maxDirectMessageBytes)
	}
	for _, node := range cluster.Members() {
		if node.Name == name && node.State == memberlist.StateAlive {
			if err := cluster.SendReliable(node, append([]byte{directMessagePrefix}, message...)); err != nil {
				return fmt.Errorf("fleet: member %s: %w", name, err)
			}
			return nil
		}
	}
	return fmt.Errorf("fleet: member %s is not there", name)
}

// told hands on a message that another member has sent with Tell, and tells whether it is
// one. Told must not keep it, and returns at once.
func (m *Member) deliver(raw []byte) bool {
	if len(raw) == 0 || raw[0] != directMessagePrefix {
		return false
	}
	if m.OnMessage != nil && len(raw) <= maxDirectMessageBytes+1 {
		m.OnMessage(raw[1:])
	}
	return true
}
