package rig

import (
	"fmt"
	"time"

	"coralrelay/internal/loopback"
)

// firstListTime is how long a node gets for its first list.
const firstListTime = 2 * time.Second

// Stage is a small deployment: discovery, feed servers, and one of two nodes, which forwards datagrams.
type Stage struct {
	Discovery *Discovery
	Feeds     []*Feed
	Node      *Node
	UDPAddr   string // where the node takes datagrams
}

// StageOptions describes a stage.
type StageOptions struct {
	Feeds int
	// LinesOnly leaves the operator's file out, so that the node forwards no datagrams.
	LinesOnly bool
	// UDP has further keys of the operator's udp section, as JSON that begins with a comma.
	UDP     string
	Node    NodeOptions   // without what the stage fills in
	Prepare func(f *Feed) // is called with each feed server before it is listed; may be nil
}

// NewStage starts a stage and waits until the node has its first list.
func NewStage(c *Case, options StageOptions) (*Stage, error) {
	s := &Stage{}
	var err error
	if s.Discovery, err = NewDiscovery(c); err != nil {
		return nil, err
	}
	for i := range options.Feeds {
		feed, err := NewFeed(c, fmt.Sprintf("s-%d", i))
		if err != nil {
			return nil, err
		}
		if options.Prepare != nil {
			options.Prepare(feed)
		}
		s.Feeds = append(s.Feeds, feed)
		s.Discovery.Set(feed.Entry("active"))
	}
	if s.UDPAddr, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	node := options.Node
	node.Name, node.Of, node.Discovery = "n0", 2, s.Discovery.Addr
	if !options.LinesOnly {
		node.OperatorFile = fmt.Sprintf(`{"udp":{"listen":%q%s}}`, s.UDPAddr, options.UDP)
	}
	if s.Node, err = StartNode(c, node); err != nil {
		return nil, err
	}
	time.Sleep(firstListTime)
	return s, nil
}

// Busiest returns the feed server that has received most datagrams, and an error if there were none.
func (s *Stage) Busiest() (*Feed, error) {
	best := s.Feeds[0]
	for _, feed := range s.Feeds {
		if len(feed.Datagrams()) > len(best.Datagrams()) {
			best = feed
		}
	}
	if len(best.Datagrams()) == 0 {
		return nil, fmt.Errorf("no datagram was forwarded")
	}
	return best, nil
}
