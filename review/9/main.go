// Command 9 shows that datagrams of flows that stand go on to a feed server that drains, long after the
// drain counts as told to the node.
package main

import (
	"fmt"
	"time"

	"coralrelay/review/rig"
)

const (
	flowCount    = 24
	flowInterval = 200 * time.Millisecond
	// crowdTime is how long discovery has too many callers.
	crowdTime = 11 * time.Second
	queueTime = 2 * time.Second
	// drainDelay is from the reset of the watches to the begin of the drain.
	drainDelay = 2 * time.Second
	// toldAfter is when a change counts as told at the latest, whether or not it arrived.
	toldAfter = 6 * time.Second
	// grace is drainGrace of the settings and the 50 ms by which each limit is longer on sockets.
	grace = 350 * time.Millisecond
	// onTheWay is allowed for the way of a datagram from the node to the feed server.
	onTheWay = 100 * time.Millisecond
)

func main() { rig.Main(run) }

func run(c *rig.Case) error {
	stage, err := rig.NewStage(c, rig.StageOptions{Feeds: 4})
	if err != nil {
		return err
	}
	discovery := stage.Discovery
	var flows []*rig.Flow
	for i := range flowCount {
		flow, err := rig.StartFlow(c, fmt.Sprintf("flow-%d", i), stage.UDPAddr, flowInterval)
		if err != nil {
			return err
		}
		flows = append(flows, flow)
	}
	time.Sleep(3 * time.Second)
	drained, err := stage.Busiest()
	if err != nil {
		return err
	}
	if c.Trouble {
		discovery.SetCrowded(queueTime)
		discovery.ResetWatches()
	}
	crowdedAt := time.Now()
	time.Sleep(drainDelay)
	drainedAt := time.Now()
	discovery.Set(drained.Entry("leaving"))
	time.Sleep(time.Until(crowdedAt.Add(crowdTime)))
	discovery.SetCrowded(0)
	time.Sleep(4 * time.Second)
	check(c, drained, drainedAt)
	for _, flow := range flows {
		c.Record("%s: sent %d, answered %d", flow.Name, flow.Sent.Load(), flow.Answered.Load())
	}
	return nil
}

// check looks for datagrams that the drained feed server received after the drain counted as told and
// the grace was over.
func check(c *rig.Case, drained *rig.Feed, drainedAt time.Time) {
	lastAllowed := drainedAt.Add(toldAfter + grace + onTheWay)
	late := 0
	var last time.Time
	for _, datagram := range drained.Datagrams() {
		if datagram.At.After(drainedAt) {
			last = datagram.At
		}
		if datagram.At.After(lastAllowed) {
			late++
			c.Record("%s received %q %v after the drain", drained.ID, datagram.Text,
				datagram.At.Sub(drainedAt).Round(time.Millisecond))
		}
	}
	if !last.IsZero() {
		c.Record("%s received its last datagram %v after discovery had the drain", drained.ID,
			last.Sub(drainedAt).Round(time.Millisecond))
	}
	if late > 0 {
		c.Broken("%s received %d datagrams later than %v after discovery had its drain and could be reached",
			drained.ID, late, lastAllowed.Sub(drainedAt))
	}
}
