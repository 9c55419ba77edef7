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
	Zone    string
	started time.Time // zero for warm from the beginning
}

// linksAt is where nodes reach servers through the relay.
const linksAt = "127.0.7.1"

// Join starts a server and lists it; a cold one begins its ramp now.
func (w *Testbed) Join(name, zone string, cold bool) (time.Time, error) {
	v := &Server{Server: fake.NewServer(fake.ServerOptions{Name: name, Observer: w, Capacity: 10_000}), Zone: zone}
	v.SetLoad(warmLoad)
	started := time.Now()
	if cold {
		v.SetLoad(0.05)
		v.started = started
	}
	addrs, err := v.Start(w.Names)
	if err != nil {
		return started, err
	}
	if w.ProxyServers {
		w.Proxy.SetZone(name, zone)
		addrs = maps.Clone(addrs) // the server goes by its own
		for node, addr := range addrs {
			if addrs[node], err = w.Proxy.AddFor(node, name, addr, linksAt); err != nil {
				return started, err
			}
		}
	}
	w.mu.Lock()
	w.servers = append(w.servers, v)
	w.zones[name] = zone
	w.mu.Unlock()
	w.Discovery.SetZone(name, zone)
	w.Discovery.Set(name, fake.Active, v.started, addrs)
	return started, nil
}

// Leave takes a server off the list and ends it for good.
func (w *Testbed) Leave(name string) {
	w.Discovery.Set(name, fake.Left, time.Time{}, nil)
	w.mu.Lock()
	at := slices.IndexFunc(w.servers, func(v *Server) bool { return v.Name == name })
	v := w.servers[at]
	w.servers = slices.Delete(slices.Clone(w.servers), at, at+1)
	w.mu.Unlock()
	v.Kill()
}

// All are the servers there are, in the order in which they came.
func (w *Testbed) AllServers() []*Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.servers)
}

// Of are the servers of some zones.
func (w *Testbed) ServersIn(zones ...string) []*Server {
	return slices.DeleteFunc(w.AllServers(), func(v *Server) bool { return !slices.Contains(zones, v.Zone) })
}

// KillServers ends servers as killed processes end; the roster is not told.
func (w *Testbed) KillServers(list []*Server) error {
	for _, v := range list {
		v.Kill()
		if err := w.Proxy.SetDown(v.Name, true); err != nil {
			return err
		}
	}
	return nil
}

// StartServers starts killed servers at their addresses. The roster tells that they are cold
// from now on, unless they come back spoilt: then it is not told at all.
func (w *Testbed) StartServers(list []*Server, way fake.FaultMode) error {
	for _, v := range list {
		v.SetFault(way)
		if _, err := v.Start(w.Names); err != nil {
			return err
		}
		if err := w.Proxy.SetDown(v.Name, false); err != nil {
			return err
		}
		if way == fake.Healthy {
			w.MarkCold(v)
		}
	}
	return nil
}

// Chill says that a server has begun anew just now: it is cold, and the roster tells so.
func (w *Testbed) MarkCold(v *Server) {
	now := time.Now()
	v.SetFault(fake.Healthy)
	w.mu.Lock()
	v.started = now
	w.mu.Unlock()
	w.Discovery.Set(v.Name, fake.Active, now, nil)
}

// warmth is the part of what it can do warm that a server can do at a time.
func (w *Testbed) warmth(v *Server, at time.Time) float64 {
	w.mu.Lock()
	started := v.started
	w.mu.Unlock()
	if started.IsZero() {
		return 1
	}
	return w.warm(at.Sub(started))
}

// warm is the same by age.
func (w *Testbed) warm(age time.Duration) float64 {
	return SlowStartShare + (1-SlowStartShare)*min(1, max(0, age.Seconds()/w.Ramp.Seconds()))
}

// Bears is how many first lines a second fill a server at a time.
func (w *Testbed) CapacityOf(v *Server, at time.Time) float64 {
	return w.warmth(v, at) * w.Rate / float64(w.Options.Servers) / UsualLoad
}
