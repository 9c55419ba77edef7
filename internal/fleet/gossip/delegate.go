package gossip

import (
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/hashicorp/memberlist"

	"coralrelay/internal/fleet/quota"
)

// broadcast is a queued message. A later broadcast with the same name replaces it.
type broadcast struct {
	name    string
	payload []byte
}

// Invalidates implements memberlist.Broadcast.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	queued, ok := other.(*broadcast)
	return ok && queued.name == b.name
}

// Name implements memberlist.NamedBroadcast.
func (b *broadcast) Name() string { return b.name }

// Message implements memberlist.Broadcast.
func (b *broadcast) Message() []byte { return b.payload }

// Finished implements memberlist.Broadcast.
func (b *broadcast) Finished() {}

// delegate implements memberlist.Delegate and memberlist.EventDelegate for a Member.
type delegate struct {
	member       *Member
	meta         []byte
	aliveMembers atomic.Int64
	queue        memberlist.TransmitLimitedQueue
}

func newDelegate(member *Member, retransmitMult int) (*delegate, error) {
	meta, err := json.Marshal(nodeMetadata{member.Zone, member.ReplogAddress})
	if err != nil {
		return nil, fmt.Errorf("fleet: encode the node's metadata: %w", err)
	}
	d := &delegate{member: member, meta: meta}
	d.queue.RetransmitMult = retransmitMult
	// memberlist's own member count can't be used here: the queue calls NumNodes with its lock held,
	// and memberlist calls NotifyJoin, which may queue a broadcast, with the lock of that count held.
	// The two locks would be taken in opposite orders, which can deadlock.
	d.queue.NumNodes = func() int { return int(max(d.aliveMembers.Load(), 1)) }
	return d, nil
}

// NodeMeta implements memberlist.Delegate.
func (d *delegate) NodeMeta(int) []byte { return d.meta }

// NotifyMsg implements memberlist.Delegate.
func (d *delegate) NotifyMsg(raw []byte) {
	if !d.member.deliverDirect(raw) {
		d.member.Receive(raw)
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.queue.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate.
func (d *delegate) LocalState(bool) []byte { return d.member.encodeState() }

// MergeRemoteState implements memberlist.Delegate.
func (d *delegate) MergeRemoteState(raw []byte, _ bool) { d.member.receiveState(raw) }

// NotifyJoin implements memberlist.EventDelegate.
func (d *delegate) NotifyJoin(node *memberlist.Node) {
	d.aliveMembers.Add(1)
	d.member.SetMemberStatus(node.Name, quota.Alive, node.Meta)
}

// NotifyUpdate implements memberlist.EventDelegate.
func (d *delegate) NotifyUpdate(node *memberlist.Node) {
	d.member.SetMemberStatus(node.Name, quota.Alive, node.Meta)
}

// NotifyLeave implements memberlist.EventDelegate.
func (d *delegate) NotifyLeave(node *memberlist.Node) {
	d.aliveMembers.Add(-1)
	if node.State == memberlist.StateLeft {
		d.member.SetMemberStatus(node.Name, quota.Left, node.Meta)
		return
	}
	d.member.SetMemberStatus(node.Name, quota.Failed, node.Meta)
}
