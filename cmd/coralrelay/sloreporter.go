package main

import (
	"time"

	"coralrelay/internal/dispatch"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/operatorconfig"
)

// mostDone are the parts of time that wait for the agent to ask: more is too late for it.
const maxPendingSamples = 2

// promises counts response times by contract and region, for those who decide where
// contracts go. What is below now belongs to the Core's goroutine.
type sloReporter struct {
	eventLoop    *dispatch.EventLoop
	regionByZone map[string]string // the region of each zone that is in one
	now          func() time.Duration

	recorder         *slo.Recorder
	regionByEndpoint map[string]string // next hops' regions
	pending          []slo.Sample
	contractsVersion uint64 // version of the contracts that count
}

// countPromises has the link tell what the node measures, where contracts are kept.
func addSLOReporter(client *agentapi.Client, fleet operatorconfig.Fleet, eventLoop *dispatch.EventLoop) {
	if !fleet.SLO.Enabled {
		return
	}
	reporter := &sloReporter{eventLoop: eventLoop, regionByZone: map[string]string{}, now: func() time.Duration { return fleet.SLO.Time(time.Duration(time.Now().UnixNano())) },
		recorder: slo.NewRecorder(fleet.SLO.Config(), fleet.Name, fleet.Zone, time.Now().UnixNano())}
	for region, zones := range fleet.Zones.Regions {
		for _, zone := range zones {
			reporter.regionByZone[zone] = region
		}
	}
	eventLoop.SetAttemptObserver(reporter.recordAttempt)
	makeReport, handleResponse := client.MakeReport, client.HandleResponse
	client.MakeReport = func() agentapi.Report { report := makeReport(); reporter.fillReport(&report); return report }
	client.HandleResponse = func(response agentapi.Response) {
		handleResponse(response)
		reporter.applyContracts(response.Contracts)
	}
}

func (r *sloReporter) recordAttempt(contract, endpoint string, took time.Duration) {
	if region, ok := r.regionByEndpoint[endpoint]; ok {
		r.queueSample(r.recorder.Record(r.now(), contract, region, took))
	}
}

func (r *sloReporter) queueSample(sample *slo.Sample) {
	if sample == nil {
		return
	}
	if len(r.pending) == maxPendingSamples {
		r.pending = r.pending[1:]
	}
	r.pending = append(r.pending, *sample)
}

// say tells what was measured in the parts of time that are over.
func (r *sloReporter) fillReport(report *agentapi.Report) {
	regionByEndpoint := make(map[string]string, len(report.Servers))
	for _, endpoint := range report.Servers {
		if region, ok := r.regionByZone[endpoint.Zone]; ok {
			regionByEndpoint[endpoint.ID] = region
		} else if endpoint.Zone != "" {
			regionByEndpoint[endpoint.ID] = endpoint.Zone
		}
	}
	r.eventLoop.RunOnLoop(func(time.Duration) {
		r.regionByEndpoint = regionByEndpoint
		r.queueSample(r.recorder.Rotate(r.now()))
		report.Samples, report.ContractsVersion, r.pending = r.pending, r.contractsVersion, nil
	})
}

// take goes by other contracts from now on. Those on messages are not counted: the node
// passes messages on without knowing which answers which.
func (r *sloReporter) applyContracts(list *agentapi.ContractList) {
	if list == nil {
		return
	}
	contracts := slo.State{Version: list.Version}
	for _, contract := range list.Contracts {
		if !contract.MeasuresMessages {
			contracts.Contracts = append(contracts.Contracts, slo.Contract{Name: contract.Name, Priority: contract.Priority})
		}
	}
	r.eventLoop.RunOnLoop(func(time.Duration) {
		r.recorder.SetContracts(contracts)
		r.contractsVersion = list.Version
	})
}
