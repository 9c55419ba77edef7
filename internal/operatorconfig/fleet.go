package operatorconfig

import (
	"net/netip"
	"time"
)

// Fleet configures the state that nodes share through their agents (coralagent).
type Fleet struct {
	AgentAddr       string        `json:"agent"`     // where the agent serves its node; empty for no agent
	Name            string        `json:"name"`      // of this member; unique in the fleet
	Bind            string        `json:"bind"`      // IP:PORT for gossip, TCP and UDP
	Advertise       string        `json:"advertise"` // where other members reach it, if not at Bind
	Peers           []string      `json:"peers"`     // addresses of some other members
	KeyFile         string        `json:"key"`       // file with the gossip key, the same on all members
	GossipInterval  Duration      `json:"interval"`  // time between two rounds of gossip
	QuotaPeriod     Duration      `json:"epoch"`     // quota period when cold, as the settings' tipAfter
	HolderTimeout   Duration      `json:"hold"`      // how long a silent member keeps its share of the quotas
	ReportTTL       Duration      `json:"fresh"`     // validity period of outlier reports and retry counts
	RetryRatio      float64       `json:"retries"`   // retries allowed per first attempt, over all nodes
	MaxEjectedShare float64       `json:"shun"`      // maximum share of endpoints that are ejected
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

func (f *Fleet) check(c *checker) {
	enabled := f.AgentAddr != ""
	c.rejectIf(enabled && !isHostPort(f.AgentAddr), "fleet.agent", f.AgentAddr, "HOST:PORT")
	c.rejectIf(enabled && (f.Name == "" || len(f.Name) > 64), "fleet.name", f.Name,
		"1 to 64 bytes, as fleet.agent is set")
	c.rejectIf(enabled && !isIPPort(f.Bind), "fleet.bind", f.Bind, "IP:PORT, as fleet.agent is set")
	c.rejectIf(f.Advertise != "" && !isIPPort(f.Advertise), "fleet.advertise", f.Advertise, "IP:PORT")
	c.rejectIf(enabled && f.KeyFile == "", "fleet.key", f.KeyFile, "a key file, as fleet.agent is set")
	for _, peer := range f.Peers {
		c.rejectIf(!isIPPort(peer), "fleet.peers", peer, "IP:PORT")
	}
	c.duration("fleet.interval", f.GossipInterval, 20*time.Millisecond, 5*time.Second)
	c.duration("fleet.epoch", f.QuotaPeriod, 200*time.Millisecond, time.Minute)
	c.duration("fleet.hold", f.HolderTimeout, f.QuotaPeriod.Duration, time.Hour)
	c.duration("fleet.fresh", f.ReportTTL, 200*time.Millisecond, time.Minute)
	c.number("fleet.retries", f.RetryRatio, 0, 10)
	c.number("fleet.shun", f.MaxEjectedShare, 0, 1)
	c.rejectIf(f.Zone != "" && !isWord(f.Zone, maxZoneNameBytes), "fleet.zone", f.Zone,
		"1 to 24 bytes without blanks")
	f.ReplicatedLog.check(c, f)
	f.Zones.check(c, f)
	f.Accounts.check(c, f)
	f.SLO.check(c, f)
}
