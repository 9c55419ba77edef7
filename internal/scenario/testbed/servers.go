package testbed

import (
	"slices"
	"time"

	"coralrelay/internal/fake"
)

// Server is a fake server and its zone.
type Server struct {
	*fake.Server
	Zone      string
	coldSince time.Time // zero if the server was always warm; guarded by the lock of the testbed
}

// proxiedServerHost is the address at which nodes reach servers through the proxy.
const proxiedServerHost = "127.0.7.1"

// serverCapacity is how many concurrent sessions a server accepts. Scenarios never reach it.
const serverCapacity = 10_000

// Join starts a server and adds it to the endpoint list of discovery. A cold server begins its ramp at
// its start. Join returns the time of the start.
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

// proxyServer adds a server to the proxy and returns, by node, the addresses at which the nodes reach
// it there.
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

// Leave removes a server from the endpoint list and kills it. The server must have joined.
func (bed *Testbed) Leave(name string) {
	bed.Discovery.Set(name, fake.Left, time.Time{}, nil)
	bed.mu.Lock()
	index := slices.IndexFunc(bed.servers, func(server *Server) bool { return server.Name == name })
	server := bed.servers[index]
	bed.servers = slices.Delete(slices.Clone(bed.servers), index, index+1)
	bed.mu.Unlock()
	server.Kill()
}

// AllServers returns the current servers in the order in which they joined.
func (bed *Testbed) AllServers() []*Server {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return slices.Clone(bed.servers)
}

// ServersIn returns the servers of the given zones.
func (bed *Testbed) ServersIn(zones ...string) []*Server {
	return slices.DeleteFunc(bed.AllServers(), func(server *Server) bool { return !slices.Contains(zones, server.Zone) })
}

// KillServers kills servers without a change of the endpoint list in discovery.
func (bed *Testbed) KillServers(list []*Server) error {
	for _, server := range list {
		server.Kill()
		if err := bed.Proxy.SetDown(server.Name, true); err != nil {
			return err
		}
	}
	return nil
}

// StartServers starts killed servers again on their addresses, with a fault. If the fault is
// fake.Healthy, discovery reports them as cold from now on; otherwise the endpoint list is unchanged.
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

// MarkCold makes a server healthy and lets its ramp begin now. Discovery reports the new start time.
func (bed *Testbed) MarkCold(server *Server) {
	now := time.Now()
	server.SetFault(fake.Healthy)
	bed.mu.Lock()
	server.coldSince = now
	bed.mu.Unlock()
	bed.Discovery.Set(server.Name, fake.Active, now, nil)
}

// warmShareOf returns a server's capacity at a time as a share of its capacity when warm.
func (bed *Testbed) warmShareOf(server *Server, at time.Time) float64 {
	bed.mu.Lock()
	coldSince := server.coldSince
	bed.mu.Unlock()
	if coldSince.IsZero() {
		return 1
	}
	return bed.warmShare(at.Sub(coldSince))
}

// warmShare returns the capacity of a server that began its ramp the given age ago, as a share of its
// capacity when warm.
func (bed *Testbed) warmShare(age time.Duration) float64 {
	return SlowStartShare + (1-SlowStartShare)*min(1, max(0, age.Seconds()/bed.Ramp.Seconds()))
}

// CapacityOf returns the capacity of a server at a time, in first lines per second.
func (bed *Testbed) CapacityOf(server *Server, at time.Time) float64 {
	return bed.warmShareOf(server, at) * bed.Rate / float64(bed.Options.Servers) / UsualLoad
}
