package soak

import (
	"fmt"
	"slices"
	"time"

	"coralrelay/internal/fake"
)

// The drain rule, for each node by itself. A node counts as notified of a change when discovery has
// written the change to it, and at the latest notifyDelay after discovery had the change and could
// be reached, whether or not it arrived. A server that is leaving gets no new request later than
// drainGrace after that. drainGrace includes the 0.15 s for which a node may be paused.
const (
	drainGrace, notifyDelay = 300 * time.Millisecond, 6 * time.Second
	// reloadDelay is the time after SIGHUP, 4 s, from which a change that the new discovery address
	// reports counts as notified.
	reloadDelay = 4 * time.Second
)

// notifiedChange is a change of a server, with the time from which a node counts as notified.
type notifiedChange struct {
	fake.ListChange
	notifiedAt time.Duration // since the start of the run
}

// checkDrain checks that a server gets no new request later than drainGrace after the node counts
// as notified that it is draining or gone. A server that is back counts as leaving until the node
// counts as notified of its return.
func (r *run) checkDrain(a *opened) {
	var node int
	if _, err := fmt.Sscanf(a.ID, "n%d-", &node); err != nil {
		return
	}
	since, isLeaving := r.leavingSince(node, a)
	if !isLeaving {
		return
	}
	allowed := drainGrace + transitAllowance
	if r.linkFault(node, a) { // the fault delays the first line on its way to the server
		allowed += linkAllowance
	}
	if late := a.At - since; late > allowed {
		r.AddViolation("drain", fmt.Sprintf("a first line %v after the node counts as notified: %+v",
			late, *a))
	}
}

// leavingSince returns since when a node counts as notified that the server of an attempt is
// leaving, as of the time of the attempt.
func (r *run) leavingSince(node int, a *opened) (since time.Duration, isLeaving bool) {
	for _, change := range r.notifiedChanges(node, a.Server) {
		switch {
		case change.notifiedAt > a.At:
		case change.Lifecycle == fake.Active:
			isLeaving = false
		case !isLeaving:
			since, isLeaving = change.notifiedAt, true
		}
	}
	return since, isLeaving
}

// notifiedChanges returns the changes of a server, in discovery's order, with the times from which
// a node counts as notified.
func (r *run) notifiedChanges(node, server int) []notifiedChange {
	key := [2]int{node, server}
	if cached, ok := r.notified[key]; ok {
		return cached
	}
	var notified []notifiedChange
	writes := r.discovery.Writes(nodeName(node))
	for _, change := range r.discovery.Changes(r.servers[server].name()) {
		notifiedAt := r.latestNotification(r.history.at(change.At))
		if writtenAt, ok := r.writtenAt(node, change, writes); ok {
			notifiedAt = min(notifiedAt, writtenAt)
		}
		notified = append(notified, notifiedChange{change, notifiedAt})
	}
	r.notified[key] = notified
	return notified
}

// latestNotification returns when every node counts as notified, at the latest, of a change that
// discovery had at a time: notifyDelay after that, counted anew from the end of an outage.
func (r *run) latestNotification(at time.Duration) time.Duration {
	begin := at
	for _, outage := range r.outages() {
		if begin+notifyDelay <= outage.from {
			break
		}
		begin = max(begin, outage.to)
	}
	return begin + notifyDelay
}

// span is a period of the run.
type span struct{ from, to time.Duration }

// outages returns, in order, the periods in which discovery accepted no connections from any node.
// A discovery that answers 503 or resets a connection counts as reachable.
func (r *run) outages() (outages []span) {
	for i := range r.trace.Faults {
		if f := &r.trace.Faults[i]; f.Kind == discoveryDown {
			outages = append(outages, f.span())
		}
	}
	slices.SortFunc(outages, func(a, b span) int { return int(a.from - b.from) })
	return outages
}

// writtenAt returns when discovery wrote a change so that it reached a node; ok is false if it did
// not. If the proxy may have delayed it, a leaving server counts as not written, and a returning
// one as written.
func (r *run) writtenAt(node int, change fake.ListChange, writes []fake.Write) (at time.Duration, ok bool) {
	for _, write := range writes {
		if write.Generation < change.Generation {
			continue
		}
		at := r.history.at(write.At)
		switch {
		case change.Lifecycle == fake.Active:
		case r.faultAt(node, at, at, transitAllowance,
			discoverySilent, discoverySlow, discoveryBreaks, discoveryRefuses, discoveryDown):
			// The proxy dropped the write, or delayed it beyond the silence limit of the watch.
			// Then only the limit of notifyDelay, 6 s, applies.
			continue
		case r.faultAt(node, at-reloadDelay, at, transitAllowance, nodeHangUp, nodeHangUps, nodeSignals):
			at += reloadDelay // the write may have gone to a watch that the node had replaced after a reload
		}
		return at, true
	}
	return 0, false
}

// linkFault reports whether a fault was active on the links between a node and the server of an
// attempt around its time.
func (r *run) linkFault(node int, a *opened) bool {
	for i := range r.trace.Faults {
		f := &r.trace.Faults[i]
		isOnLink := slices.Contains(f.Servers, a.Server) && slices.Contains(f.Nodes, node)
		if isOnLink && slices.Contains([]Kind{linkCut, linkOneWay, linkLate, linkPieces}, f.Kind) &&
			f.overlaps(a.At, a.At, linkAllowance) {
			return true
		}
	}
	return false
}
