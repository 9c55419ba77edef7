package gossip

import (
	"sync/atomic"

	"github.com/hashicorp/memberlist"

	"coralrelay/internal/fleet/quota"
)

// broadcast is a report on its way; a later one of the same member takes its place.
type broadcast struct {
	name    string
	payload []byte
}

func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	queued, ok := other.(*broadcast)
	return ok && queued.name == b.name
}
func (b *broadcast) Name() string    { return b.name }
func (b *broadcast) Message() []byte { return b.payload }
func (b *broadcast) Finished()       {}

// delegate is what memberlist calls.
type delegate struct {
	member       *Member
	meta         []byte
	aliveMembers atomic.Int64 // members that are alive
	queue        memberlist.TransmitLimitedQueue
}

func (d *delegate) NodeMeta(int) []byte { return d.meta }
func (d *delegate) NotifyMsg(raw []byte) {
	if !d.member.deliver(raw) {
		d.member.Receive(raw)
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.queue.GetBroadcasts(overhead, limit)
}
func (d *delegate) LocalState(bool) []byte              { return d.member.encodeState() }
func (d *delegate) MergeRemoteState(raw []byte, _ bool) { d.member.receiveState(raw) }

func (d *delegate) NotifyJoin(node *memberlist.Node) {
	d.aliveMembers.Add(1)
	d.member.SetMemberStatus(node.Name, quota.Alive, node.Meta)
}
func (d *delegate) NotifyUpdate(node *memberlist.Node) {
	d.member.SetMemberStatus(node.Name, quota.Alive, node.Meta)
}
func (d *delegate) NotifyLeave(node *memberlist.Node) {
	d.aliveMembers.Add(-1)
	if node.State == memberlist.StateLeft {
		d.member.SetMemberStatus(node.Name, quota.Left, node.Meta)
		return
	}
	d.member.SetMemberStatus(node.Name, quota.Failed, node.Meta)
}
