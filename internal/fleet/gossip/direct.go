package gossip

import (
	"errors"
	"fmt"

	"github.com/hashicorp/memberlist"
)

const (
	// directMessagePrefix is the first byte of a message to one member. Broadcasts are JSON objects,
	// which never start with it.
	directMessagePrefix = 's'
	// maxDirectMessageBytes limits a direct message, without its prefix. A latency sample of 4,096
	// cells is smaller.
	maxDirectMessageBytes = 512 << 10
)

// errNotRunning is returned by Send if Run has not created the cluster yet.
var errNotRunning = errors.New("fleet: gossip is not running yet")

// Send sends a message to one member over a separate connection, encrypted like all gossip. It may
// block for some seconds if the member is unreachable.
func (m *Member) Send(name string, message []byte) error {
	m.mu.Lock()
	cluster := m.cluster
	m.mu.Unlock()
	if cluster == nil {
		return errNotRunning
	}
	if len(message) > maxDirectMessageBytes {
		return fmt.Errorf("fleet: send to member %s: message of %d bytes exceeds the limit of %d",
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
	return fmt.Errorf("fleet: send to member %s: no alive member has this name", name)
}

// deliverDirect passes a direct message to OnMessage. It returns false if raw is not a direct message.
func (m *Member) deliverDirect(raw []byte) bool {
	if len(raw) == 0 || raw[0] != directMessagePrefix {
		return false
	}
	if m.OnMessage != nil && len(raw) <= maxDirectMessageBytes+1 {
		m.OnMessage(raw[1:])
	}
	return true
}
