package operatorconfig

import "time"

// UDP configures the forwarding of UDP flows.
type UDP struct {
	Listen              string    `json:"listen"`  // one address; empty disables UDP
	Class               string    `json:"class"`   // one of the settings' classes; empty for the first
	MaxFlows            int       `json:"flows"`   // capacity of the flow table
	FlowIdleTimeout     Duration  `json:"idle"`    // a flow without datagrams for this time expires
	Policy              string    `json:"policy"`  // when the table is full: reserve, refuse or idle
	Reserve             float64   `json:"reserve"` // share of the table for settled flows alone
	MinSettledDatagrams int       `json:"settled"` // a flow is settled after this number of datagrams
	After               Duration  `json:"after"`   // and at this age at least
	Mode                string    `json:"mode"`    // flow: one socket per flow; shared: one per endpoint
	Sockets             int       `json:"sockets"` // maximum to endpoints; deducted from limits.sockets
	SendProxyHeader     bool      `json:"proxy"`   // put a PROXY v2 header before each datagram
	Queue               Queue     `json:"queue"`
	Sources             Sources   `json:"sources"`
	Silence             Silence   `json:"silence"`
	NewFlowRate         RateLimit `json:"new"`
	ReplacedFlowRate    RateLimit `json:"again"`
}

// Queue bounds the datagrams that wait for the placement of their flow.
type Queue struct {
	Flow       int `json:"flow"` // datagrams per flow
	FlowBytes  int `json:"flow_bytes"`
	Total      int `json:"all"` // datagrams of all flows
	TotalBytes int `json:"all_bytes"`
}

// Silence configures when an endpoint counts as silent.
type Silence struct {
	After     Duration `json:"after"`     // nothing was received from it for this time; 0 for never
	Datagrams int      `json:"datagrams"` // and so many are unanswered, if it used to answer; 0 ignores them
	Echo      string   `json:"echo"`      // health check that endpoints answer; empty uses load probes
}

// Sources bounds the rate of new flows per source.
type Sources struct {
	Rate  float64 `json:"rate"`  // new flows per second; 0 for no limit
	Burst float64 `json:"burst"` // new flows at once
	Slots int     `json:"slots"` // number of token buckets
}

// RateLimit bounds the rate of placements of new flows, or of flows that have lost their endpoint.
type RateLimit struct {
	Rate  float64 `json:"rate"` // placements per second
	Burst float64 `json:"burst"`
}

func defaultUDP() UDP {
	return UDP{
		MaxFlows:            10_000,
		FlowIdleTimeout:     Duration{30 * time.Second},
		Policy:              "reserve",
		Reserve:             0.5,
		MinSettledDatagrams: 3,
		After:               Duration{time.Second},
		Mode:                "flow",
		Sockets:             256,
		Queue:               Queue{8, 16 << 10, 4096, 4 << 20},
		Sources:             Sources{Rate: 100, Burst: 200, Slots: 1 << 16},
		Silence:             Silence{After: Duration{3 * time.Second}, Datagrams: 20},
		NewFlowRate:         RateLimit{Rate: 10_000, Burst: 1000},
		ReplacedFlowRate:    RateLimit{Rate: 2000, Burst: 200},
	}
}

func (u *UDP) check(c *checker) {
	c.rejectIf(u.Listen != "" && !isHostPort(u.Listen), "udp.listen", u.Listen, "IP:PORT")
	c.oneOf("udp.mode", u.Mode, "flow", "shared")
	c.oneOf("udp.policy", u.Policy, "reserve", "refuse", "idle")
	c.duration("udp.idle", u.FlowIdleTimeout, 100*time.Millisecond, 24*time.Hour)
	c.duration("udp.after", u.After, 0, time.Hour)
	c.duration("udp.silence.after", u.Silence.After, 0, time.Hour)
	c.number("udp.flows", float64(u.MaxFlows), 1, 1<<26)
	c.number("udp.reserve", u.Reserve, 0, 1)
	c.number("udp.settled", float64(u.MinSettledDatagrams), 1, 1<<20)
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
	c.number("udp.new.rate", u.NewFlowRate.Rate, 1, 1e9)
	c.number("udp.new.burst", u.NewFlowRate.Burst, 1, 1e9)
	c.number("udp.again.rate", u.ReplacedFlowRate.Rate, 1, 1e9)
	c.number("udp.again.burst", u.ReplacedFlowRate.Burst, 1, 1e9)
}
