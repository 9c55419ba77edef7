package operatorconfig

import (
	"net/netip"
	"time"
)

// Fleet configures what nodes share through the agent beside each (coralagent).
type Fleet struct {
	Agent         string        `json:"agent"`     // where the agent answers its node; empty for off
	Name          string        `json:"name"`      // of the member, unique
	Bind          string        `json:"bind"`      // IP:PORT for gossip, TCP and UDP
	Advertise     string        `json:"advertise"` // where the others reach it, if elsewhere
	Peers         []string      `json:"peers"`     // addresses of some other members
	Key           string        `json:"key"`       // file with the key that all members have
	Interval      Duration      `json:"interval"`  // of gossip
	Epoch         Duration      `json:"epoch"`     // the quota period of a cold endpoint, as the settings' tipAfter
	Hold          Duration      `json:"hold"`      // a silent member keeps its part of the quota so long
	Fresh         Duration      `json:"fresh"`     // outlier reports and retry counts are valid so long
	Retries       float64       `json:"retries"`   // allowed for each first attempt
	Shun          float64       `json:"shun"`      // share of endpoints that are ejected at most
	Zone          string        `json:"zone"`      // of this member; empty for none
	ReplicatedLog ReplicatedLog `json:"record"`
	Zones         Zones         `json:"zones"`
	Accounts      Accounts      `json:"accounts"`
	SLO           SLO           `json:"promises"`
}

func defaultFleet() Fleet {
	return Fleet{
		Peers:         []string{},
		Interval:      Duration{100 * time.Millisecond},
		Epoch:         Duration{1500 * time.Millisecond},
		Hold:          Duration{30 * time.Second},
		Fresh:         Duration{3 * time.Second},
		Retries:       0.2,
		Shun:          0.25,
		ReplicatedLog: ReplicatedLog{Voters: []Voter{}, Lease: Duration{2 * time.Second}},
		Zones:         defaultZones(),
		SLO:           defaultSLO(),
	}
}

func isIPPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func (l *Fleet) check(c *checker) {
	on := l.Agent != ""
	c.rejectIf(on && !isHostPort(l.Agent), "fleet.agent", l.Agent, "HOST:PORT")
	c.rejectIf(on && (l.Name == "" || len(l.Name) > 64), "fleet.name", l.Name, "1 to 64 bytes, as fleet.agent is set")
	c.rejectIf(on && !isIPPort(l.Bind), "fleet.bind", l.Bind, "IP:PORT, as fleet.agent is set")
	c.rejectIf(l.Advertise != "" && !isIPPort(l.Advertise), "fleet.advertise", l.Advertise, "IP:PORT")
	c.rejectIf(on && l.Key == "", "fleet.key", l.Key, "a key file, as fleet.agent is set")
	for _, p := range l.Peers {
		c.rejectIf(!isIPPort(p), "fleet.peers", p, "IP:PORT")
	}
	c.duration("fleet.interval", l.Interval, 20*time.Millisecond, 5*time.Second)
	c.duration("fleet.epoch", l.Epoch, 200*time.Millisecond, time.Minute)
	c.duration("fleet.hold", l.Hold, l.Epoch.Duration, time.Hour)
	c.duration("fleet.fresh", l.Fresh, 200*time.Millisecond, time.Minute)
	c.number("fleet.retries", l.Retries, 0, 10)
	c.number("fleet.shun", l.Shun, 0, 1)
	c.rejectIf(l.Zone != "" && !isWord(l.Zone, maxZoneNameBytes), "fleet.zone", l.Zone, "1 to 24 bytes without blanks")
	l.ReplicatedLog.check(c, l)
	l.Zones.check(c, l)
	l.Accounts.check(c, l)
	l.SLO.check(c, l)
}
