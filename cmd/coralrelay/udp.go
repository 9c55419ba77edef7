package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime"
	"sync"

	"coralrelay/internal/config"
	"coralrelay/internal/flowtable"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/udp"
)

// startUDP starts the front for datagrams, if the operator's file names an address
// for it; else it returns nil.
func startUDP(ctx context.Context, parts *sync.WaitGroup, c config.Config, o operatorconfig.UDP, core udp.Dispatcher, hops udp.Endpoints) (udp.Listeners, error) {
	if o.Listen == "" {
		return nil, nil
	}
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("udp.listen: %w", err)
	}
	class := c.Settings.Classes[0]
	for _, one := range c.Settings.Classes {
		if one.Name == o.Class {
			class = one
		}
	}
	if o.Class != "" && class.Name != o.Class {
		return nil, fmt.Errorf("udp.class: %q is none of the settings' classes", o.Class)
	}
	policy := map[string]flowtable.Policy{"reserve": flowtable.Reserve, "refuse": flowtable.RefuseNew, "idle": flowtable.EvictIdle}[o.Policy]
	all, err := udp.Open(udp.Options{Listen: listen, Class: class.Name, Deadline: class.Deadline, Sockets: o.Sockets, SharedSockets: o.Mode == "shared", ProxyHeader: o.Proxy,
		Table: flowtable.Options{Entries: o.Flows, IdleTimeout: o.Idle.Duration, Policy: policy, ReservedShare: o.Reserve,
			SettledDatagrams: o.Settled, SettledAge: o.After.Duration},
		Sources:     flowtable.SourceOptions{Slots: o.Sources.Slots, Rate: o.Sources.Rate, Burst: o.Sources.Burst},
		FlowQueue:   flowtable.QueueLimit{Count: o.Queue.Flow, Bytes: o.Queue.FlowBytes},
		QueueBudget: flowtable.QueueBudget{Count: o.Queue.All, Bytes: o.Queue.AllBytes},
		NewFlows:    flowtable.Pacer{Rate: o.New.Rate, Burst: o.New.Burst, NewestFirst: true},
		Silence:     flowtable.SilenceOptions{After: o.Silence.After.Duration, Datagrams: o.Silence.Datagrams}, Echo: o.Silence.Echo,
		ReplacedFlows: flowtable.Pacer{Rate: o.Again.Rate, Burst: o.Again.Burst}}, runtime.GOMAXPROCS(0), core, hops)
	if err != nil {
		return nil, fmt.Errorf("udp.listen: %w", err)
	}
	parts.Go(func() { all.Serve(ctx) })
	slog.Info("udp on", "listen", all.Addr(), "fronts", len(all), "flows", o.Flows, "sockets", o.Sockets)
	return all, nil
}
