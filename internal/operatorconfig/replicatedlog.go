package operatorconfig

import (
	"encoding/base64"
	"fmt"
	"time"
)

// maxZoneNameBytes bounds a zone's name, so that observations of 12 of them fit a datagram.
const maxZoneNameBytes = 24

// ReplicatedLog configures the log that all members hold alike. It is on if it has voters.
type ReplicatedLog struct {
	Dir           string   `json:"dir"`       // folder; of this member alone
	Bind          string   `json:"bind"`      // IP:PORT, TCP
	Advertise     string   `json:"advertise"` // where the others reach it, if elsewhere
	Voters        []Voter  `json:"voters"`    // the same at all members: 3 or 5, or none for off
	Lease         Duration `json:"lease"`     // a member that has heard no leader for so long acts on its own
	RootPublicKey string   `json:"root"`      // base64 of the public key that may create accounts; empty for none
}

// Voter is a member that votes on the log.
type Voter struct {
	Name string `json:"name"`
	Addr string `json:"addr"` // where the others reach its log
	Zone string `json:"zone"`
}

// IsEnabled reports whether this member keeps the log.
func (r *ReplicatedLog) IsEnabled() bool { return len(r.Voters) > 0 }

// AdvertisedAddr returns the address where the others reach this member's log.
func (r *ReplicatedLog) AdvertisedAddr() string {
	if r.Advertise != "" {
		return r.Advertise
	}
	return r.Bind
}

// DecodeRootKey returns the bytes of the root key, none if there is no key.
func (r *ReplicatedLog) DecodeRootKey() ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(r.RootPublicKey)
	if err != nil || len(key) != 0 && len(key) != 32 {
		return nil, fmt.Errorf("%d characters", len(r.RootPublicKey))
	}
	return key, nil
}

func (r *ReplicatedLog) check(c *checker, l *Fleet) {
	const key = "fleet.record."
	c.duration(key+"lease", r.Lease, 500*time.Millisecond, time.Minute)
	_, err := r.DecodeRootKey()
	c.rejectIf(err != nil, key+"root", r.RootPublicKey, "what 'coralctl account key' prints for public, or nothing")
	c.rejectIf(r.Bind != "" && !isIPPort(r.Bind), key+"bind", r.Bind, "IP:PORT")
	c.rejectIf(r.Advertise != "" && !isIPPort(r.Advertise), key+"advertise", r.Advertise, "IP:PORT")
	if !r.IsEnabled() {
		c.rejectIf(r.Dir != "" || r.Bind != "" || r.Advertise != "", key+"voters", "none", "3 or 5, as fleet.record names a folder or an address")
		return
	}
	c.rejectIf(l.AgentAddr == "", "fleet.agent", l.AgentAddr, "HOST:PORT, as fleet.record has voters")
	c.rejectIf(l.Zone == "", "fleet.zone", l.Zone, "this member's zone, as fleet.record has voters")
	c.rejectIf(r.Dir == "", key+"dir", r.Dir, "a folder, as fleet.record has voters")
	c.rejectIf(r.Bind == "", key+"bind", r.Bind, "IP:PORT, as fleet.record has voters")
	r.checkVoters(c, l)
}

// checkVoters checks the voters against one another and against this member.
func (r *ReplicatedLog) checkVoters(c *checker, l *Fleet) {
	const key = "fleet.record.voters"
	c.rejectIf(len(r.Voters) != 3 && len(r.Voters) != 5, key, len(r.Voters), "3 or 5 voters")
	own := r.AdvertisedAddr()
	names, addrs, zones := map[string]bool{}, map[string]bool{}, map[string]int{}
	for _, v := range r.Voters {
		c.rejectIf(!isWord(v.Name, 64), key, v.Name, "names of 1 to 64 bytes without blanks")
		c.rejectIf(!isIPPort(v.Addr), key, v.Addr, "addresses IP:PORT")
		c.rejectIf(!isWord(v.Zone, maxZoneNameBytes), key, v.Zone, "zones of 1 to 24 bytes without blanks")
		c.rejectIf(names[v.Name], key, v.Name, "each name once")
		c.rejectIf(addrs[v.Addr], key, v.Addr, "each address once")
		names[v.Name], addrs[v.Addr] = true, true
		if zones[v.Zone]++; zones[v.Zone] == len(r.Voters)/2+1 {
			c.rejectIf(len(r.Voters) > 1, key, v.Zone, "voters of which no zone holds a majority: with it the record would stop")
		}
		if v.Name == l.Name {
			c.rejectIf(v.Zone != l.Zone, "fleet.zone", l.Zone, "that of this member among fleet.record.voters: "+v.Zone)
			c.rejectIf(isIPPort(own) && v.Addr != own, key, v.Addr, "where this member is reached, by fleet.record.bind or advertise: "+own)
		} else {
			c.rejectIf(v.Addr == own, key, v.Addr, "addresses of their own: this is "+l.Name+"'s")
		}
	}
}
