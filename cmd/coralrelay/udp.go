package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime"
	"sync"

	"coralrelay/balance"
	"coralrelay/internal/config"
	"coralrelay/internal/flowtable"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/udp"
)

// startUDP starts the UDP listeners if the operator's file has an address for them; otherwise it returns
// nil. Their goroutine ends with ctx.
func startUDP(
	ctx context.Context, goroutines *sync.WaitGroup, cfg config.Config, options operatorconfig.UDP,
	eventLoop udp.Dispatcher, pool udp.Endpoints,
) (udp.Listeners, error) {
	if options.Listen == "" {
		return nil, nil
	}
	listen, err := netip.ParseAddrPort(options.Listen)
	if err != nil {
		return nil, fmt.Errorf("udp.listen: %w", err)
	}
	class := cfg.Settings.Classes[0]
	for _, candidate := range cfg.Settings.Classes {
		if candidate.Name == options.Class {
			class = candidate
		}
	}
	if options.Class != "" && class.Name != options.Class {
		return nil, fmt.Errorf("udp.class: class %q is not among the settings' classes", options.Class)
	}
	listeners, err := udp.Open(udpOptions(listen, class, options), runtime.GOMAXPROCS(0), eventLoop, pool)
	if err != nil {
		return nil, fmt.Errorf("udp.listen: %w", err)
	}
	goroutines.Go(func() { listeners.Serve(ctx) })
	slog.Info("udp enabled", "component", componentUDP, "listen", listeners.Addr(), "listeners", len(listeners),
		"flows", options.MaxFlows, "sockets", options.Sockets)
	return listeners, nil
}

// flowPolicies maps the values of udp.policy to the treatment of new flows when the table is full.
var flowPolicies = map[string]flowtable.Policy{
	"reserve": flowtable.Reserve,
	"refuse":  flowtable.RefuseNew,
	"idle":    flowtable.EvictIdle,
}

// udpOptions converts the options of the operator's file to those of the listeners.
func udpOptions(listen netip.AddrPort, class balance.Class, options operatorconfig.UDP) udp.Options {
	return udp.Options{
		Listen:        listen,
		Class:         class.Name,
		Deadline:      class.Deadline,
		Sockets:       options.Sockets,
		SharedSockets: options.Mode == "shared",
		ProxyHeader:   options.SendProxyHeader,
		Table: flowtable.Options{
			Entries:          options.MaxFlows,
			IdleTimeout:      options.FlowIdleTimeout.Duration,
			Policy:           flowPolicies[options.Policy],
			ReservedShare:    options.Reserve,
			SettledDatagrams: options.MinSettledDatagrams,
			SettledAge:       options.After.Duration,
		},
		Sources: flowtable.SourceOptions{
			Slots: options.Sources.Slots,
			Rate:  options.Sources.Rate,
			Burst: options.Sources.Burst,
		},
		FlowQueue:   flowtable.QueueLimit{Count: options.Queue.Flow, Bytes: options.Queue.FlowBytes},
		QueueBudget: flowtable.QueueBudget{Count: options.Queue.Total, Bytes: options.Queue.TotalBytes},
		NewFlows: flowtable.Pacer{
			Rate: options.NewFlowRate.Rate, Burst: options.NewFlowRate.Burst, NewestFirst: true,
		},
		Silence: flowtable.SilenceOptions{
			After:     options.Silence.After.Duration,
			Datagrams: options.Silence.Datagrams,
		},
		Echo:          options.Silence.Echo,
		ReplacedFlows: flowtable.Pacer{Rate: options.ReplacedFlowRate.Rate, Burst: options.ReplacedFlowRate.Burst},
	}
}
