package gossip

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// Gossip says how a member meets the others.
type Config struct {
	BindAddress      string   // HOST:PORT, for TCP and UDP
	AdvertiseAddress string   // where the others reach it, if that is elsewhere
	Peers            []string // some other members' advertised addresses
	KeyFile          string   // file with 32, 48 or 64 hexadecimal digits; all members have the same
	Unencrypted      bool     // without a key: for a mutation only
	Interval         time.Duration
	LogOutput        io.Writer
}

// rejoin is how often members that can't be reached are looked for again.
const rejoin = 2 * time.Second

// transport is memberlist's, but calls come from the address that it listens on: others
// can tell who calls, and so can whoever stands between.
type transport struct {
	*memberlist.NetTransport
	from net.IP
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.from}}
	return d.Dial("tcp", addr)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// Run is a member until ctx ends, and then says that it leaves.
func (a *Member) Run(ctx context.Context, g Config) error {
	bind, err := netip.ParseAddrPort(g.BindAddress)
	if err != nil {
		return fmt.Errorf("fleet.bind: %w", err)
	}
	logger := log.New(g.LogOutput, "", 0)
	tr, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{bind.Addr().String()},
		BindPort: int(bind.Port()), Logger: logger})
	if err != nil {
		return fmt.Errorf("fleet.bind: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Logger = a.name, &transport{tr, net.IP(bind.Addr().AsSlice())}, logger
	c.BindAddr, c.BindPort = bind.Addr().String(), int(bind.Port())
	c.AdvertiseAddr, c.AdvertisePort = c.BindAddr, c.BindPort
	if g.AdvertiseAddress != "" {
		to, err := netip.ParseAddrPort(g.AdvertiseAddress)
		if err != nil {
			return fmt.Errorf("fleet.advertise: %w", err)
		}
		c.AdvertiseAddr, c.AdvertisePort = to.Addr().String(), int(to.Port())
	}
	if !g.Unencrypted {
		if c.SecretKey, err = ReadKey(g.KeyFile); err != nil {
			return fmt.Errorf("fleet.key: %w", err)
		}
	}
	c.GossipInterval = g.Interval
	c.ProbeInterval, c.ProbeTimeout = 5*g.Interval, 5*g.Interval/2
	// Few who are left confirm each other's suspicions late; a false one does no harm, as
	// tokens are held for longer than that.
	c.SuspicionMaxTimeoutMult = 2
	c.PushPullInterval = 10 * time.Second
	c.DeadNodeReclaimTime = time.Second // a member may come back at another address
	d := &delegate{agent: a}
	if d.meta, err = json.Marshal(place{a.Zone, a.ReplogAddress}); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	d.queue.RetransmitMult = c.RetransmitMult
	// Not the list's own count: it is asked for under the queue's lock, and the list
	// calls NotifyJoin under its own.
	d.queue.NumNodes = func() int { return int(max(d.there.Load(), 1)) }
	c.Delegate, c.Events = d, d
	list, err := memberlist.Create(c)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	a.mu.Lock()
	a.list = list
	a.spread = func(name string, report []byte) {
		d.queue.QueueBroadcast(&broadcast{name, report})
	}
	a.mu.Unlock()
	tick := time.NewTicker(rejoin)
	defer tick.Stop()
	for {
		a.join(list, g.Peers)
		select {
		case <-ctx.Done():
			_ = list.Leave(time.Second)
			return list.Shutdown()
		case <-tick.C:
		}
	}
}

// join looks for those of the peers that are not there.
func (a *Member) join(list *memberlist.Memberlist, peers []string) {
	there := []string{list.LocalNode().Address()}
	for _, n := range list.Members() {
		there = append(there, n.Address())
	}
	missing := slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return slices.Contains(there, p) })
	if len(missing) > 0 {
		_, _ = list.Join(missing) // memberlist logs who can't be reached; they are looked for again
	}
}

// ReadKey reads a key file.
func ReadKey(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || memberlist.ValidateKey(key) != nil {
		return nil, fmt.Errorf("%s: 32, 48 or 64 hexadecimal digits are wanted", path)
	}
	return key, nil
}
