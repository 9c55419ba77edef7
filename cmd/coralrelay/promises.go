package main

import (
	"time"

	"coralrelay/internal/dispatch"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/operatorconfig"
)

// mostDone are the parts of time that wait for the agent to ask: more is too late for it.
const mostDone = 2

// promises counts response times by contract and region, for those who decide where
// contracts go. What is below now belongs to the Core's goroutine.
type promises struct {
	core  *dispatch.EventLoop
	zones map[string]string // the region of each zone that is in one
	now   func() time.Duration

	tally *slo.Recorder
	at    map[string]string // next hops' regions
	done  []slo.Sample
	known uint64 // version of the contracts that count
}

// countPromises has the link tell what the node measures, where contracts are kept.
func countPromises(l *agentapi.Client, f operatorconfig.Fleet, core *dispatch.EventLoop) {
	if !f.SLO.Enabled {
		return
	}
	p := &promises{core: core, zones: map[string]string{}, now: func() time.Duration { return f.SLO.Time(time.Duration(time.Now().UnixNano())) },
		tally: slo.NewRecorder(f.SLO.Config(), f.Name, f.Zone, time.Now().UnixNano())}
	for region, zones := range f.Zones.Regions {
		for _, zone := range zones {
			p.zones[zone] = region
		}
	}
	core.SetAttemptObserver(p.timed)
	say, take := l.MakeReport, l.HandleResponse
	l.MakeReport = func() agentapi.Report { s := say(); p.say(&s); return s }
	l.HandleResponse = func(t agentapi.Response) { take(t); p.take(t.Contracts) }
}

func (p *promises) timed(contract, server string, took time.Duration) {
	if region, ok := p.at[server]; ok {
		p.over(p.tally.Record(p.now(), contract, region, took))
	}
}

func (p *promises) over(s *slo.Sample) {
	if s == nil {
		return
	}
	if len(p.done) == mostDone {
		p.done = p.done[1:]
	}
	p.done = append(p.done, *s)
}

// say tells what was measured in the parts of time that are over.
func (p *promises) say(s *agentapi.Report) {
	at := make(map[string]string, len(s.Servers))
	for _, hop := range s.Servers {
		if region, ok := p.zones[hop.Zone]; ok {
			at[hop.ID] = region
		} else if hop.Zone != "" {
			at[hop.ID] = hop.Zone
		}
	}
	p.core.RunOnLoop(func(time.Duration) {
		p.at = at
		p.over(p.tally.Rotate(p.now()))
		s.Samples, s.ContractsVersion, p.done = p.done, p.known, nil
	})
}

// take goes by other contracts from now on. Those on messages are not counted: the node
// passes messages on without knowing which answers which.
func (p *promises) take(told *agentapi.ContractList) {
	if told == nil {
		return
	}
	s := slo.State{Version: told.Version}
	for _, c := range told.Contracts {
		if !c.MeasuresMessages {
			s.Contracts = append(s.Contracts, slo.Contract{Name: c.Name, Priority: c.Priority})
		}
	}
	p.core.RunOnLoop(func(time.Duration) {
		p.tally.SetContracts(s)
		p.known = told.Version
	})
}
