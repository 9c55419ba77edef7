package operatorconfig

import (
	"encoding/base64"
	"fmt"
	"time"
)

// maxZoneNameBytes bounds the name of a zone, so that observations of 12 zones fit into a datagram.
const maxZoneNameBytes = 24

// ReplicatedLog configures the log that is replicated to all members. It is enabled if it has
// voters.
type ReplicatedLog struct {
	Dir           string   `json:"dir"`       // directory; used by this member alone
	Bind          string   `json:"bind"`      // IP:PORT, TCP
	Advertise     string   `json:"advertise"` // where other members reach it, if not at Bind
	Voters        []Voter  `json:"voters"`    // 3 or 5, or none to disable the log; the same on all members
	Lease         Duration `json:"lease"`     // how long after losing the leader a member acts on its own
	RootPublicKey string   `json:"root"`      // base64 of the key that may create accounts; empty for none
}

// Voter is a member that votes on the log.
type Voter struct {
	Name string `json:"name"`
	Addr string `json:"addr"` // where other members reach its log
	Zone string `json:"zone"`
}

// IsEnabled reports whether the replicated log is enabled.
func (r *ReplicatedLog) IsEnabled() bool { return len(r.Voters) > 0 }

// AdvertisedAddr returns the address at which other members reach this member's log.
func (r *ReplicatedLog) AdvertisedAddr() string {
	if r.Advertise != "" {
		return r.Advertise
	}
	return r.Bind
}

// DecodeRootKey returns the bytes of the root key. They are empty if no key is configured.
func (r *ReplicatedLog) DecodeRootKey() ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(r.RootPublicKey)
	if err != nil || len(key) != 0 && len(key) != 32 {
		return nil, fmt.Errorf("root key of %d characters is not base64 of 32 bytes", len(r.RootPublicKey))
	}
	return key, nil
}

func (r *ReplicatedLog) check(c *checker, fleet *Fleet) {
	const key = "fleet.record."
	c.duration(key+"lease", r.Lease, 500*time.Millisecond, time.Minute)
	_, err := r.DecodeRootKey()
	c.rejectIf(err != nil, key+"root", r.RootPublicKey,
		"the public key that 'coralctl account key' prints, or nothing")
	c.rejectIf(r.Bind != "" && !isIPPort(r.Bind), key+"bind", r.Bind, "IP:PORT")
	c.rejectIf(r.Advertise != "" && !isIPPort(r.Advertise), key+"advertise", r.Advertise, "IP:PORT")
	if !r.IsEnabled() {
		c.rejectIf(r.Dir != "" || r.Bind != "" || r.Advertise != "", key+"voters", "none",
			"3 or 5, as fleet.record has a directory or an address")
		return
	}
	c.rejectIf(fleet.AgentAddr == "", "fleet.agent", fleet.AgentAddr, "HOST:PORT, as fleet.record has voters")
	c.rejectIf(fleet.Zone == "", "fleet.zone", fleet.Zone, "this member's zone, as fleet.record has voters")
	c.rejectIf(r.Dir == "", key+"dir", r.Dir, "a directory, as fleet.record has voters")
	c.rejectIf(r.Bind == "", key+"bind", r.Bind, "IP:PORT, as fleet.record has voters")
	r.checkVoters(c, fleet)
}

// checkVoters checks that the voters are consistent with each other and with this member.
func (r *ReplicatedLog) checkVoters(c *checker, fleet *Fleet) {
	const key = "fleet.record.voters"
	c.rejectIf(len(r.Voters) != 3 && len(r.Voters) != 5, key, len(r.Voters), "3 or 5 voters")
	own := r.AdvertisedAddr()
	names, addrs, zones := map[string]bool{}, map[string]bool{}, map[string]int{}
	for _, voter := range r.Voters {
		c.rejectIf(!isWord(voter.Name, 64), key, voter.Name, "names of 1 to 64 bytes without blanks")
		c.rejectIf(!isIPPort(voter.Addr), key, voter.Addr, "addresses IP:PORT")
		c.rejectIf(!isWord(voter.Zone, maxZoneNameBytes), key, voter.Zone,
			"zones of 1 to 24 bytes without blanks")
		c.rejectIf(names[voter.Name], key, voter.Name, "each name once")
		c.rejectIf(addrs[voter.Addr], key, voter.Addr, "each address once")
		names[voter.Name], addrs[voter.Addr] = true, true
		if zones[voter.Zone]++; zones[voter.Zone] == len(r.Voters)/2+1 {
			c.rejectIf(len(r.Voters) > 1, key, voter.Zone,
				"voters of which no zone holds a majority: its failure would stop the log")
		}
		if voter.Name == fleet.Name {
			c.rejectIf(voter.Zone != fleet.Zone, "fleet.zone", fleet.Zone,
				"that of this member among fleet.record.voters: "+voter.Zone)
			c.rejectIf(isIPPort(own) && voter.Addr != own, key, voter.Addr,
				"where this member is reached, by fleet.record.bind or advertise: "+own)
		} else {
			c.rejectIf(voter.Addr == own, key, voter.Addr,
				"addresses other than this member's own: this is "+fleet.Name+"'s")
		}
	}
}
