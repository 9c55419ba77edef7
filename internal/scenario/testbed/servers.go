package testbed

import (
	"slices"
	"time"

	"coralrelay/internal/fake"
)

// Server is a fake server in a zone.
type Server struct {
	*fake.Server
	Zone      string
	coldSince time.Time // zero if it was warm from the beginning; guarded by the testbed's lock
}

// proxiedServerHost is where nodes reach servers through the proxy.
const proxiedServerHost = "127.0.7.1"

// serverCapacity is how many sessions a server takes at once: more than there ever are.
const serverCapacity = 10_000

// Join starts a server and lists it; a cold one begins its ramp now. It returns when it started.
func (bed *Testbed) Join(name, zone string, cold bool) (time.Time, error) {
	server := &Server{
		Server: fake.NewServer(fake.ServerOptions{Name: name, Observer: bed, Capacity: serverCapacity}),
		Zone:   zone,
	}
	server.SetLoad(reportedWarmLoad)
	startedAt := time.Now()
	if cold {
		server.SetLoad(reportedColdLoad)
		server.coldSince = startedAt
	}
	addrs, err := server.Start(bed.Names)
	if err != nil {
		return startedAt, err
	}
	if bed.ProxyServers {
		if addrs, err = bed.proxyServer(name, zone, addrs); err != nil {
			return startedAt, err
		}
	}
	bed.mu.Lock()
	bed.servers = append(bed.servers, server)
	bed.zones[name] = zone
	bed.mu.Unlock()
	bed.Discovery.SetZone(name, zone)
	bed.Discovery.Set(name, fake.Active, server.coldSince, addrs)
	return startedAt, nil
}

// proxyServer returns the addresses, by node, at which a server is reached through the proxy.
func (bed *Testbed) proxyServer(name, zone string, addrs map[string]string) (map[string]string, error) {
	bed.Proxy.SetZone(name, zone)
	proxied := map[string]string{}
	for node, addr := range addrs {
		var err error
		if proxied[node], err = bed.Proxy.AddFor(node, name, addr, proxiedServerHost); err != nil {
			return nil, err
		}
	}
	return proxied, nil
}

// Leave takes a server, which has to be there, off the list and ends it for good.
func (bed *Testbed) Leave(name string) {
	bed.Discovery.Set(name, fake.Left, time.Time{}, nil)
	bed.mu.Lock()
	index := slices.IndexFunc(bed.servers, func(server *Server) bool { return server.Name == name })
	server := bed.servers[index]
	bed.servers = slices.Delete(slices.Clone(bed.servers), index, index+1)
	bed.mu.Unlock()
	server.Kill()
}

// AllServers returns the servers there are, in the order in which they joined.
func (bed *Testbed) AllServers() []*Server {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return slices.Clone(bed.servers)
}

// ServersIn returns the servers of some zones.
func (bed *Testbed) ServersIn(zones ...string) []*Server {
	return slices.DeleteFunc(bed.AllServers(), func(server *Server) bool { return !slices.Contains(zones, server.Zone) })
}

// KillServers ends servers as killed processes end; discovery is not told.
func (bed *Testbed) KillServers(list []*Server) error {
	for _, server := range list {
		server.Kill()
		if err := bed.Proxy.SetDown(server.Name, true); err != nil {
			return err
		}
	}
	return nil
}

// StartServers starts killed servers at their addresses. Discovery tells that they are cold from
// now on, unless they come back with a fault: then it is not told at all.
func (bed *Testbed) StartServers(list []*Server, fault fake.FaultMode) error {
	for _, server := range list {
		server.SetFault(fault)
		if _, err := server.Start(bed.Names); err != nil {
			return err
		}
		if err := bed.Proxy.SetDown(server.Name, false); err != nil {
			return err
		}
		if fault == fake.Healthy {
			bed.MarkCold(server)
		}
	}
	return nil
}

// MarkCold has a server be healthy and begin its ramp now; discovery tells so.
func (bed *Testbed) MarkCold(server *Server) {
	now := time.Now()
	server.SetFault(fake.Healthy)
	bed.mu.Lock()
	server.coldSince = now
	bed.mu.Unlock()
	bed.Discovery.Set(server.Name, fake.Active, now, nil)
}

// warmShareOf returns the part of what it can do warm that a server can do at a time.
func (bed *Testbed) warmShareOf(server *Server, at time.Time) float64 {
	bed.mu.Lock()
	coldSince := server.coldSince
	bed.mu.Unlock()
	if coldSince.IsZero() {
		return 1
	}
	return bed.warmShare(at.Sub(coldSince))
}

// warmShare returns the same for a server that began its ramp so long ago.
func (bed *Testbed) warmShare(age time.Duration) float64 {
	return SlowStartShare + (1-SlowStartShare)*min(1, max(0, age.Seconds()/bed.Ramp.Seconds()))
}

// CapacityOf returns how many first lines a second fill a server at a time.
func (bed *Testbed) CapacityOf(server *Server, at time.Time) float64 {
	return bed.warmShareOf(server, at) * bed.Rate / float64(bed.Options.Servers) / UsualLoad
}
