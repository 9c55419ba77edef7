package balance

// Deterministic subsetting: which of the ready servers an instance draws from. It draws from all of them
// unless there are more than it can keep probe connections to. In that case it draws from a segment of the
// ring; the segments of all instances together cover every server equally often.

const (
	// subsetFraction is the part of an instance's probe connections that its subset may use. The rest is for
	// servers outside the subset: candidates for groups, and servers that hold connections.
	subsetFraction = 0.5
	// minSubsetOverlap is the minimum number of instances that draw from each server. With fewer, a server
	// would be exposed to the uneven traffic of single instances.
	minSubsetOverlap = 16
)

// subset is a segment of the ring.
type subset struct {
	start, size int
}

// allReadyServers is the subset of all ready servers.
func (b *Balancer) allReadyServers() subset { return subset{size: len(b.servers.ready)} }

// drawSubset is the subset that this instance draws from. The segments are evenly spaced on the ring, whose
// order is the same for all instances. A server that starts or leaves shifts a segment by at most one server.
func (b *Balancer) drawSubset() subset {
	ready, instances := len(b.servers.ready), b.settings.Instances
	limit := b.settings.Limits.ProbeConnections
	if limit <= 0 || ready <= limit {
		return b.allReadyServers()
	}
	size := max(int(subsetFraction*float64(limit)), (minSubsetOverlap*ready+instances-1)/instances)
	if size >= ready {
		return b.allReadyServers()
	}
	instance := ((b.settings.Instance % instances) + instances) % instances
	return subset{start: instance * ready / instances, size: size}
}

// drawUniformly draws a server uniformly from a subset.
func (b *Balancer) drawUniformly(from subset) *server {
	index := b.rng.IntN(from.size)
	if from.size == len(b.servers.ready) {
		return b.servers.ready[index]
	}
	return b.servers.ring[(from.start+index)%len(b.servers.ring)]
}
