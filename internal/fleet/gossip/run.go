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
const rejoinInterval = 2 * time.Second

// transport is memberlist's, but calls come from the address that it listens on: others
// can tell who calls, and so can whoever stands between.
type transport struct {
	*memberlist.NetTransport
	localIP net.IP
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.localIP}}
	return dialer.Dial("tcp", addr)
}

func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}

// Run is a member until ctx ends, and then says that it leaves.
func (m *Member) Run(ctx context.Context, config Config) error {
	bind, err := netip.ParseAddrPort(config.BindAddress)
	if err != nil {
		return fmt.Errorf("fleet.bind: %w", err)
	}
	logger := log.New(config.LogOutput, "", 0)
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{bind.Addr().String()},
		BindPort: int(bind.Port()), Logger: logger})
	if err != nil {
		return fmt.Errorf("fleet.bind: %w", err)
	}
	listConfig := memberlist.DefaultLANConfig()
	listConfig.Name, listConfig.Transport, listConfig.Logger = m.name, &transport{netTransport, net.IP(bind.Addr().AsSlice())}, logger
	listConfig.BindAddr, listConfig.BindPort = bind.Addr().String(), int(bind.Port())
	listConfig.AdvertiseAddr, listConfig.AdvertisePort = listConfig.BindAddr, listConfig.BindPort
	if config.AdvertiseAddress != "" {
		advertise, err := netip.ParseAddrPort(config.AdvertiseAddress)
		if err != nil {
			return fmt.Errorf("fleet.advertise: %w", err)
		}
		listConfig.AdvertiseAddr, listConfig.AdvertisePort = advertise.Addr().String(), int(advertise.Port())
	}
	if !config.Unencrypted {
		if listConfig.SecretKey, err = ReadKey(config.KeyFile); err != nil {
			return fmt.Errorf("fleet.key: %w", err)
		}
	}
	listConfig.GossipInterval = config.Interval
	listConfig.ProbeInterval, listConfig.ProbeTimeout = 5*config.Interval, 5*config.Interval/2
	// Few who are left confirm each other's suspicions late; a false one does no harm, as
	// tokens are held for longer than that.
	listConfig.SuspicionMaxTimeoutMult = 2
	listConfig.PushPullInterval = 10 * time.Second
	listConfig.DeadNodeReclaimTime = time.Second // a member may come back at another address
	events := &delegate{member: m}
	if events.meta, err = json.Marshal(nodeMetadata{m.Zone, m.ReplogAddress}); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	events.queue.RetransmitMult = listConfig.RetransmitMult
	// Not the list's own count: it is asked for under the queue's lock, and the list
	// calls NotifyJoin under its own.
	events.queue.NumNodes = func() int { return int(max(events.aliveMembers.Load(), 1)) }
	listConfig.Delegate, listConfig.Events = events, events
	cluster, err := memberlist.Create(listConfig)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	m.mu.Lock()
	m.cluster = cluster
	m.enqueue = func(name string, payload []byte) {
		events.queue.QueueBroadcast(&broadcast{name, payload})
	}
	m.mu.Unlock()
	tick := time.NewTicker(rejoinInterval)
	defer tick.Stop()
	for {
		m.join(cluster, config.Peers)
		select {
		case <-ctx.Done():
			_ = cluster.Leave(time.Second)
			return cluster.Shutdown()
		case <-tick.C:
		}
	}
}

// join looks for those of the peers that are not there.
func (m *Member) join(cluster *memberlist.Memberlist, peers []string) {
	present := []string{cluster.LocalNode().Address()}
	for _, node := range cluster.Members() {
		present = append(present, node.Address())
	}
	missing := slices.DeleteFunc(slices.Clone(peers), func(peer string) bool { return slices.Contains(present, peer) })
	if len(missing) > 0 {
		_, _ = cluster.Join(missing) // memberlist logs who can't be reached; they are looked for again
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
