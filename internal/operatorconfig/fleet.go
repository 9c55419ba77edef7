package operatorconfig

import (
	"net/netip"
	"time"
)

// Fleet configures what nodes share through the agent beside each (coralagent).
type Fleet struct {
	AgentAddr       string        `json:"agent"`     // where the agent answers its node; empty for off
	Name            string        `json:"name"`      // of the member, unique
	Bind            string        `json:"bind"`      // IP:PORT for gossip, TCP and UDP
	Advertise       string        `json:"advertise"` // where the others reach it, if elsewhere
	Peers           []string      `json:"peers"`     // addresses of some other members
	KeyFile         string        `json:"key"`       // file with the key that all members have
	GossipInterval  Duration      `json:"interval"`  // of gossip
	QuotaPeriod     Duration      `json:"epoch"`     // the quota period of a cold endpoint, as the settings' tipAfter
	HolderTimeout   Duration      `json:"hold"`      // a silent member keeps its part of the quota so long
	ReportTTL       Duration      `json:"fresh"`     // outlier reports and retry counts are valid so long
	RetryRatio      float64       `json:"retries"`   // allowed for each first attempt
	MaxEjectedShare float64       `json:"shun"`      // share of endpoints that are ejected at most
	Zone            string        `json:"zone"`      // of this member; empty for none
	ReplicatedLog   ReplicatedLog `json:"record"`
	Zones           Zones         `json:"zones"`
	Accounts        Accounts      `json:"accounts"`
	SLO             SLO           `json:"promises"`
}

func defaultFleet() Fleet {
	return Fleet{
		Peers:           []string{},
		GossipInterval:  Duration{100 * time.Millisecond},
		QuotaPeriod:     Duration{1500 * time.Millisecond},
		HolderTimeout:   Duration{30 * time.Second},
		ReportTTL:       Duration{3 * time.Second},
		RetryRatio:      0.2,
		MaxEjectedShare: 0.25,
		ReplicatedLog:   ReplicatedLog{Voters: []Voter{}, Lease: Duration{2 * time.Second}},
		Zones:           defaultZones(),
		SLO:             defaultSLO(),
	}
}

func isIPPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func (l *Fleet) check(c *checker) {
	on := l.AgentAddr != ""
	c.rejectIf(on && !isHostPort(l.AgentAddr), "fleet.agent", l.AgentAddr, "HOST:PORT")
	c.rejectIf(on && (l.Name == "" || len(l.Name) > 64), "fleet.name", l.Name, "1 to 64 bytes, as fleet.agent is set")
	c.rejectIf(on && !isIPPort(l.Bind), "fleet.bind", l.Bind, "IP:PORT, as fleet.agent is set")
	c.rejectIf(l.Advertise != "" && !isIPPort(l.Advertise), "fleet.advertise", l.Advertise, "IP:PORT")
	c.rejectIf(on && l.KeyFile == "", "fleet.key", l.KeyFile, "a key file, as fleet.agent is set")
	for _, p := range l.Peers {
		c.rejectIf(!isIPPort(p), "fleet.peers", p, "IP:PORT")
	}
	c.duration("fleet.interval", l.GossipInterval, 20*time.Millisecond, 5*time.Second)
	c.duration("fleet.epoch", l.QuotaPeriod, 200*time.Millisecond, time.Minute)
	c.duration("fleet.hold", l.HolderTimeout, l.QuotaPeriod.Duration, time.Hour)
	c.duration("fleet.fresh", l.ReportTTL, 200*time.Millisecond, time.Minute)
	c.number("fleet.retries", l.RetryRatio, 0, 10)
	c.number("fleet.shun", l.MaxEjectedShare, 0, 1)
	c.rejectIf(l.Zone != "" && !isWord(l.Zone, maxZoneNameBytes), "fleet.zone", l.Zone, "1 to 24 bytes without blanks")
	l.ReplicatedLog.check(c, l)
	l.Zones.check(c, l)
	l.Accounts.check(c, l)
	l.SLO.check(c, l)
}
