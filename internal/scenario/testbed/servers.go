package testbed

import (
	"maps"
	"slices"
	"time"

	"coralrelay/internal/fake"
)

// Server is a feed server in a zone.
type Server struct {
	*fake.Server
	Zone      string
	coldSince time.Time // zero for warm from the beginning
}

// linksAt is where nodes reach servers through the relay.
const proxiedServerHost = "127.0.7.1"

// Join starts a server and lists it; a cold one begins its ramp now.
func (bed *Testbed) Join(name, zone string, cold bool) (time.Time, error) {
	v := &Server{Server: fake.NewServer(fake.ServerOptions{Name: name, Observer: bed, Capacity: 10_000}), Zone: zone}
	v.SetLoad(reportedWarmLoad)
	started := time.Now()
	if cold {
		v.SetLoad(0.05)
		v.coldSince = started
	}
	addrs, err := v.Start(bed.Names)
	if err != nil {
		return started, err
	}
	if bed.ProxyServers {
		bed.Proxy.SetZone(name, zone)
		addrs = maps.Clone(addrs) // the server goes by its own
		for node, addr := range addrs {
			if addrs[node], err = bed.Proxy.AddFor(node, name, addr, proxiedServerHost); err != nil {
				return started, err
			}
		}
	}
	bed.mu.Lock()
	bed.servers = append(bed.servers, v)
	bed.zones[name] = zone
	bed.mu.Unlock()
	bed.Discovery.SetZone(name, zone)
	bed.Discovery.Set(name, fake.Active, v.coldSince, addrs)
	return started, nil
}

// Leave takes a server off the list and ends it for good.
func (bed *Testbed) Leave(name string) {
	bed.Discovery.Set(name, fake.Left, time.Time{}, nil)
	bed.mu.Lock()
	at := slices.IndexFunc(bed.servers, func(v *Server) bool { return v.Name == name })
	v := bed.servers[at]
	bed.servers = slices.Delete(slices.Clone(bed.servers), at, at+1)
	bed.mu.Unlock()
	v.Kill()
}

// All are the servers there are, in the order in which they came.
func (bed *Testbed) AllServers() []*Server {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return slices.Clone(bed.servers)
}

// Of are the servers of some zones.
func (bed *Testbed) ServersIn(zones ...string) []*Server {
	return slices.DeleteFunc(bed.AllServers(), func(v *Server) bool { return !slices.Contains(zones, v.Zone) })
}

// KillServers ends servers as killed processes end; the roster is not told.
func (bed *Testbed) KillServers(list []*Server) error {
	for _, v := range list {
		v.Kill()
		if err := bed.Proxy.SetDown(v.Name, true); err != nil {
			return err
		}
	}
	return nil
}

// StartServers starts killed servers at their addresses. The roster tells that they are cold
// from now on, unless they come back spoilt: then it is not told at all.
func (bed *Testbed) StartServers(list []*Server, way fake.FaultMode) error {
	for _, v := range list {
		v.SetFault(way)
		if _, err := v.Start(bed.Names); err != nil {
			return err
		}
		if err := bed.Proxy.SetDown(v.Name, false); err != nil {
			return err
		}
		if way == fake.Healthy {
			bed.MarkCold(v)
		}
	}
	return nil
}

// Chill says that a server has begun anew just now: it is cold, and the roster tells so.
func (bed *Testbed) MarkCold(v *Server) {
	now := time.Now()
	v.SetFault(fake.Healthy)
	bed.mu.Lock()
	v.coldSince = now
	bed.mu.Unlock()
	bed.Discovery.Set(v.Name, fake.Active, now, nil)
}

// warmth is the part of what it can do warm that a server can do at a time.
func (bed *Testbed) warmShareOf(v *Server, at time.Time) float64 {
	bed.mu.Lock()
	started := v.coldSince
	bed.mu.Unlock()
	if started.IsZero() {
		return 1
	}
	return bed.warmShare(at.Sub(started))
}

// warm is the same by age.
func (bed *Testbed) warmShare(age time.Duration) float64 {
	return SlowStartShare + (1-SlowStartShare)*min(1, max(0, age.Seconds()/bed.Ramp.Seconds()))
}

// Bears is how many first lines a second fill a server at a time.
func (bed *Testbed) CapacityOf(v *Server, at time.Time) float64 {
	return bed.warmShareOf(v, at) * bed.Rate / float64(bed.Options.Servers) / UsualLoad
}
