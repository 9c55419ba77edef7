package gossip

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// rejoinInterval is how often a member tries to join peers that are not in the cluster.
	rejoinInterval = 2 * time.Second
	// leaveTimeout limits how long a member broadcasts that it leaves.
	leaveTimeout = time.Second
	// stateSyncInterval is how often a member exchanges its complete state with a random other member.
	stateSyncInterval = 10 * time.Second
	// nameReclaimTimeout is how long after a failure a member's name can be reclaimed from another address.
	nameReclaimTimeout = time.Second
)

// Run joins the other members and gossips with them until ctx ends. It then broadcasts that this member
// leaves.
func (m *Member) Run(ctx context.Context, config Config) error {
	clusterConfig, err := m.clusterConfig(config)
	if err != nil {
		return err
	}
	clusterDelegate, err := newDelegate(m, clusterConfig.RetransmitMult)
	if err != nil {
		return err
	}
	clusterConfig.Delegate = clusterDelegate
	clusterConfig.Events = clusterDelegate
	cluster, err := memberlist.Create(clusterConfig)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	m.mu.Lock()
	m.cluster = cluster
	m.enqueue = func(name string, payload []byte) {
		clusterDelegate.queue.QueueBroadcast(&broadcast{name, payload})
	}
	m.mu.Unlock()
	rejoin := time.NewTicker(rejoinInterval)
	defer rejoin.Stop()
	for {
		joinMissing(cluster, config.Peers)
		select {
		case <-ctx.Done():
			_ = cluster.Leave(leaveTimeout)
			return cluster.Shutdown()
		case <-rejoin.C:
		}
	}
}

// clusterConfig returns the configuration of memberlist. Its transport is already listening.
func (m *Member) clusterConfig(config Config) (*memberlist.Config, error) {
	bind, err := netip.ParseAddrPort(config.BindAddress)
	if err != nil {
		return nil, fmt.Errorf("fleet.bind: %w", err)
	}
	logger := log.New(config.LogOutput, "", 0)
	clusterTransport, err := newTransport(bind, logger)
	if err != nil {
		return nil, fmt.Errorf("fleet.bind: %w", err)
	}
	advertise := bind
	if config.AdvertiseAddress != "" {
		if advertise, err = netip.ParseAddrPort(config.AdvertiseAddress); err != nil {
			return nil, fmt.Errorf("fleet.advertise: %w", err)
		}
	}
	c := memberlist.DefaultLANConfig()
	c.Name = m.name
	c.Transport = clusterTransport
	c.Logger = logger
	c.BindAddr = bind.Addr().String()
	c.BindPort = int(bind.Port())
	c.AdvertiseAddr = advertise.Addr().String()
	c.AdvertisePort = int(advertise.Port())
	if !config.Unencrypted {
		if c.SecretKey, err = ReadKey(config.KeyFile); err != nil {
			return nil, fmt.Errorf("fleet.key: %w", err)
		}
	}
	c.GossipInterval = config.Interval
	c.ProbeInterval = 5 * config.Interval
	c.ProbeTimeout = 5 * config.Interval / 2
	// Where few members are left, they confirm each other's suspicions late, so the longest suspicion is
	// kept short. A false one does no harm, because tokens are withheld for longer than it lasts.
	c.SuspicionMaxTimeoutMult = 2
	c.PushPullInterval = stateSyncInterval
	c.DeadNodeReclaimTime = nameReclaimTimeout
	return c, nil
}

// joinMissing joins the peers that are not in the cluster.
func joinMissing(cluster *memberlist.Memberlist, peers []string) {
	present := []string{cluster.LocalNode().Address()}
	for _, node := range cluster.Members() {
		present = append(present, node.Address())
	}
	missing := slices.DeleteFunc(slices.Clone(peers), func(peer string) bool {
		return slices.Contains(present, peer)
	})
	if len(missing) > 0 {
		_, _ = cluster.Join(missing) // memberlist logs the error; Run retries after rejoinInterval
	}
}

// transport is a memberlist.NetTransport that connects from the IP address that it listens on, so that
// the other members, and a fault proxy between them, can identify a member by its source address.
type transport struct {
	*memberlist.NetTransport
	localIP net.IP
}

func newTransport(bind netip.AddrPort, logger *log.Logger) (*transport, error) {
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{bind.Addr().String()},
		BindPort:  int(bind.Port()),
		Logger:    logger,
	})
	if err != nil {
		return nil, err
	}
	return &transport{netTransport, net.IP(bind.Addr().AsSlice())}, nil
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.localIP}}
	return dialer.Dial("tcp", addr)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}
