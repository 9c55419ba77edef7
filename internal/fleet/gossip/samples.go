package gossip

import (
	"errors"
	"fmt"

	"github.com/hashicorp/memberlist"
)

const (
	// kindSample begins a message that is not for all. Reports are JSON, and begin otherwise.
	kindSample = 's'
	// largestSample bounds such a message: 4,096 cells, amply.
	largestSample = 512 << 10
)

// Tell sends a message to one member, over a connection of its own, encrypted as all that
// members say. It may take some seconds where that member can't be reached.
func (a *Member) Send(name string, message []byte) error {
	a.mu.Lock()
	list := a.list
	a.mu.Unlock()
	if list == nil {
		return errors.New("fleet: this member has not met the others yet")
	}
	if len(message) > largestSample {
		return fmt.Errorf("fleet: a message of %d bytes to %s, at most %d are sent", len(message), name, largestSample)
	}
	for _, n := range list.Members() {
		if n.Name == name && n.State == memberlist.StateAlive {
			if err := list.SendReliable(n, append([]byte{kindSample}, message...)); err != nil {
				return fmt.Errorf("fleet: member %s: %w", name, err)
			}
			return nil
		}
	}
	return fmt.Errorf("fleet: member %s is not there", name)
}

// told hands on a message that another member has sent with Tell, and tells whether it is
// one. Told must not keep it, and returns at once.
func (a *Member) told(raw []byte) bool {
	if len(raw) == 0 || raw[0] != kindSample {
		return false
	}
	if a.OnMessage != nil && len(raw) <= largestSample+1 {
		a.OnMessage(raw[1:])
	}
	return true
}
