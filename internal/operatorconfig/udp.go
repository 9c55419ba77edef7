package operatorconfig

import "time"

// UDP configures the forwarding of flows of datagrams.
type UDP struct {
	Listen  string   `json:"listen"`  // one address; empty for off
	Class   string   `json:"class"`   // of the settings' classes; empty for the first
	MaxFlows   int      `json:"flows"`   // in the table
	IdleTimeout    Duration `json:"idle"`    // a flow silent for so long is forgotten
	Policy  string   `json:"policy"`  // for a full table: reserve, refuse or idle
	ReservedShare float64  `json:"reserve"` // share of the table for settled flows alone
	SettledDatagrams int      `json:"settled"` // a flow has settled after so many datagrams
	SettledAge   Duration `json:"after"`   // over at least so long
	Mode    string   `json:"mode"`    // flow: a socket for each flow; shared: one for each endpoint
	Sockets int      `json:"sockets"` // to endpoints at once; taken from limits.sockets
	ProxyHeader   bool     `json:"proxy"`   // a PROXY v2 header before each datagram
	Queue   Queue    `json:"queue"`
	Sources Sources  `json:"sources"`
	Silence Silence  `json:"silence"`
	NewFlows     RateLimit     `json:"new"`
	ReplacedFlows   RateLimit     `json:"again"`
}

// Queue bounds datagrams that wait for a decision.
type Queue struct {
	Flow      int `json:"flow"` // datagrams of one flow
	FlowBytes int `json:"flow_bytes"`
	Total       int `json:"all"` // of all flows together
	TotalBytes  int `json:"all_bytes"`
}

// Silence says when an endpoint of flows counts as silent.
type Silence struct {
	After     Duration `json:"after"`     // without any datagram from it; 0 for never
	Datagrams int      `json:"datagrams"` // unanswered, if it used to answer
	Echo      string   `json:"echo"`      // a datagram that endpoints answer; empty to use their probes
}

// Sources bounds new flows of one source.
type Sources struct {
	Rate  float64 `json:"rate"`  // a second; 0 for no bound
	Burst float64 `json:"burst"` // at once
	Slots int     `json:"slots"` // of the structure that counts them
}

// RateLimit bounds the rate of placements: of new flows, and of those that have lost their
// endpoint.
type RateLimit struct {
	Rate  float64 `json:"rate"` // a second
	Burst float64 `json:"burst"`
}

func defaultUDP() UDP {
	return UDP{
		MaxFlows:   10_000,
		IdleTimeout:    Duration{30 * time.Second},
		Policy:  "reserve",
		ReservedShare: 0.5,
		SettledDatagrams: 3,
		SettledAge:   Duration{time.Second},
		Mode:    "flow",
		Sockets: 256,
		Queue:   Queue{8, 16 << 10, 4096, 4 << 20},
		Sources: Sources{Rate: 100, Burst: 200, Slots: 1 << 16},
		Silence: Silence{After: Duration{3 * time.Second}, Datagrams: 20},
		NewFlows:     RateLimit{Rate: 10_000, Burst: 1000},
		ReplacedFlows:   RateLimit{Rate: 2000, Burst: 200},
	}
}

func (u *UDP) check(c *checker) {
	c.rejectIf(u.Listen != "" && !isHostPort(u.Listen), "udp.listen", u.Listen, "IP:PORT")
	c.oneOf("udp.mode", u.Mode, "flow", "shared")
	c.oneOf("udp.policy", u.Policy, "reserve", "refuse", "idle")
	c.duration("udp.idle", u.IdleTimeout, 100*time.Millisecond, 24*time.Hour)
	c.duration("udp.after", u.SettledAge, 0, time.Hour)
	c.duration("udp.silence.after", u.Silence.After, 0, time.Hour)
	c.number("udp.flows", float64(u.MaxFlows), 1, 1<<26)
	c.number("udp.reserve", u.ReservedShare, 0, 1)
	c.number("udp.settled", float64(u.SettledDatagrams), 1, 1<<20)
	c.number("udp.sockets", float64(u.Sockets), 1, 1<<20)
	c.number("udp.queue.flow", float64(u.Queue.Flow), 1, 1<<16)
	c.number("udp.queue.flow_bytes", float64(u.Queue.FlowBytes), 1, 1<<26)
	c.number("udp.queue.all", float64(u.Queue.Total), 1, 1<<24)
	c.number("udp.queue.all_bytes", float64(u.Queue.TotalBytes), 1, 1<<30)
	c.number("udp.silence.datagrams", float64(u.Silence.Datagrams), 0, 1<<20)
	c.number("length of udp.silence.echo", float64(len(u.Silence.Echo)), 0, 1024)
	c.number("udp.sources.rate", u.Sources.Rate, 0, 1e9)
	c.number("udp.sources.burst", u.Sources.Burst, 1, 1e9)
	c.number("udp.sources.slots", float64(u.Sources.Slots), 2, 1<<26)
	c.number("udp.new.rate", u.NewFlows.Rate, 1, 1e9)
	c.number("udp.new.burst", u.NewFlows.Burst, 1, 1e9)
	c.number("udp.again.rate", u.ReplacedFlows.Rate, 1, 1e9)
	c.number("udp.again.burst", u.ReplacedFlows.Burst, 1, 1e9)
}
