package balance

// The servers, the ready ones among them, and the hash ring for groups and subsets. This file contains no
// decision logic.

import (
	"cmp"
	"slices"
	"time"
)

// serverList holds the servers in this instance's view.
type serverList struct {
	byID  map[string]*server
	ready []*server // draws are uniform over these
	ring  []*server // the ready servers, ordered by ring hash
}

// add adds a server that is not ready and returns it. attemptTimeConstant is the time constant of
// its recentAttempts.
func (l *serverList) add(id string, attemptTimeConstant time.Duration) *server {
	s := &server{readyIndex: -1, reportedLoad: -1, ringHash: ringHash(id)}
	s.placedLoad.timeConstant = reportDelay
	s.recentFaults.timeConstant = faultDecay
	s.recentAttempts.timeConstant = attemptTimeConstant
	s.observedAttempts.timeConstant = observationDecay
	s.observedFailures.timeConstant = observationDecay
	l.byID[id] = s
	return s
}

// setReady adds s to the ready servers or removes it from them.
func (l *serverList) setReady(s *server, ready bool) {
	switch {
	case ready && !s.isReady():
		s.readyIndex = len(l.ready)
		l.ready = append(l.ready, s)
		l.ring = slices.Insert(l.ring, l.ringIndex(s.ringHash), s)
	case !ready && s.isReady():
		last := l.ready[len(l.ready)-1]
		l.ready[s.readyIndex], last.readyIndex = last, s.readyIndex
		l.ready = l.ready[:len(l.ready)-1]
		l.removeFromRing(s)
		s.readyIndex = -1
	}
}

// removeFromRing removes s from the ring.
func (l *serverList) removeFromRing(s *server) {
	i := l.ringIndex(s.ringHash)
	for l.ring[i] != s { // another server with the same hash
		i++
	}
	l.ring = slices.Delete(l.ring, i, i+1)
}

// removeIfGone deletes s if it is gone and holds no connection.
func (l *serverList) removeIfGone(s *server) {
	if s.State == Gone && len(s.connections) == 0 && l.byID[s.ID] == s {
		delete(l.byID, s.ID)
	}
}

// ringIndex is the index of the first server on the ring whose hash is not below the given one.
func (l *serverList) ringIndex(hash uint64) int {
	i, _ := slices.BinarySearchFunc(l.ring, hash, func(s *server, h uint64) int { return cmp.Compare(s.ringHash, h) })
	return i
}

// AvoidedServers counts the listed servers that are excluded from all or more than half of their draws.
func (b *Balancer) AvoidedServers() (count int) {
	for _, s := range b.servers.byID {
		if s.State != Gone && (!s.isReady() || b.faultShare(s)*b.zoneShare(s) < 0.5) {
			count++
		}
	}
	return count
}

// ringHash is FNV-1a with a finalizer, which spreads the hashes of short names that differ only in their last
// characters.
func ringHash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	return h ^ h>>33
}
