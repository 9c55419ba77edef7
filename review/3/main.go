// Command 3 plays the review's case 3: discovery is crowded, a feed server drains meanwhile, and the node
// goes on sending the datagrams of its flows there, however long ago the drain counts as told.
package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"coralrelay/review/standin"
)

const (
	servers = 7
	flows   = 28
	pause   = 500 * time.Millisecond // between two datagrams of a flow
	crowded = 16 * time.Second
	told    = 6 * time.Second        // a change counts as told so long after discovery had it
	grace   = 350 * time.Millisecond // of drains, on sockets
)

func main() { standin.Main(play) }

func play(c *standin.Case) error {
	discovery, err := standin.NewDiscovery(c)
	if err != nil {
		return err
	}
	list, err := standin.NewServers(c, discovery, servers)
	if err != nil {
		return err
	}
	flowsAddr, err := startNode(c, discovery)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for i := range flows {
		if err := startFlow(ctx, flowsAddr, i); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)

	drained := mostUsed(list)
	end := time.Now().Add(crowded)
	if c.Trouble {
		discovery.SetCrowded(true)
	}
	time.Sleep(2 * time.Second)
	drainedAt := time.Now()
	drained.Drain()
	discovery.Set(drained.ID, drained.Addr, "leaving")
	time.Sleep(time.Until(end))
	check(c, drained, drainedAt)
	return nil
}

// startNode starts a node that forwards datagrams, and returns where it takes them.
func startNode(c *standin.Case, discovery *standin.Discovery) (flowsAddr string, err error) {
	listen, err := standin.FreeAddr()
	if err != nil {
		return "", err
	}
	if flowsAddr, err = standin.FreeAddr(); err != nil {
		return "", err
	}
	config, err := c.WriteJSON("config.json", standin.NewConfig(listen, discovery))
	if err != nil {
		return "", err
	}
	operator, err := c.WriteJSON("operator.json", map[string]any{"udp": map[string]any{"listen": flowsAddr}})
	if err != nil {
		return "", err
	}
	node, err := standin.StartNode(c, "node", config, nil, " --config "+operator)
	if err != nil {
		return "", err
	}
	_, err = node.AwaitYes(10 * time.Second)
	return flowsAddr, err
}

// startFlow sends a client's datagrams until ctx ends.
func startFlow(ctx context.Context, addr string, number int) error {
	conn, err := net.Dial("udp", addr)
	if err != nil {
		return err
	}
	go func() { // echoes are read and not used
		buffer := make([]byte, 2048)
		for {
			if _, err := conn.Read(buffer); err != nil && ctx.Err() != nil {
				return
			}
		}
	}()
	go func() {
		defer conn.Close()
		for i := 0; ctx.Err() == nil; i++ {
			_, _ = fmt.Fprintf(conn, "beacon %d of flow %d", i, number)
			time.Sleep(pause)
		}
	}()
	return nil
}

// mostUsed returns the server that has had the most datagrams.
func mostUsed(list []*standin.Server) *standin.Server {
	most := list[0]
	for _, server := range list[1:] {
		if len(server.Datagrams()) > len(most.Datagrams()) {
			most = server
		}
	}
	return most
}

// check records each datagram that came to the drained server later than the grace after its drain was
// told, at the latest 6 s after discovery had it.
func check(c *standin.Case, drained *standin.Server, drainedAt time.Time) {
	for _, datagram := range drained.Datagrams() {
		if since := datagram.At.Sub(drainedAt); since > told+grace {
			c.Broken("%s got %q %.3f s after discovery had its drain", drained.ID, datagram.Text, since.Seconds())
		}
	}
}
