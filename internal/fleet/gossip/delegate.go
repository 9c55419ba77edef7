package gossip

import (
	"sync/atomic"

	"github.com/hashicorp/memberlist"

	"coralrelay/internal/fleet/quota"
)

// broadcast is a report on its way; a later one of the same member takes its place.
type broadcast struct {
	name string
	raw  []byte
}

func (r *broadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*broadcast)
	return ok && other.name == r.name
}
func (r *broadcast) Name() string    { return r.name }
func (r *broadcast) Message() []byte { return r.raw }
func (r *broadcast) Finished()       {}

// delegate is what memberlist calls.
type delegate struct {
	agent *Member
	meta  []byte
	there atomic.Int64 // members that are alive
	queue memberlist.TransmitLimitedQueue
}

func (d *delegate) NodeMeta(int) []byte { return d.meta }
func (d *delegate) NotifyMsg(raw []byte) {
	if !d.agent.told(raw) {
		d.agent.Receive(raw)
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.queue.GetBroadcasts(overhead, limit)
}
func (d *delegate) LocalState(bool) []byte              { return d.agent.all() }
func (d *delegate) MergeRemoteState(raw []byte, _ bool) { d.agent.hearAll(raw) }

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	d.there.Add(1)
	d.agent.SetMemberStatus(n.Name, quota.Alive, n.Meta)
}
func (d *delegate) NotifyUpdate(n *memberlist.Node) {
	d.agent.SetMemberStatus(n.Name, quota.Alive, n.Meta)
}
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.there.Add(-1)
	if n.State == memberlist.StateLeft {
		d.agent.SetMemberStatus(n.Name, quota.Left, n.Meta)
		return
	}
	d.agent.SetMemberStatus(n.Name, quota.Failed, n.Meta)
}
