package main

import (
	"time"

	"coralrelay/internal/dispatch"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/operatorconfig"
)

// maxPendingSamples bounds the samples that wait for the next report. The agent can't use older ones
// any more.
const maxPendingSamples = 2

// sloReporter samples response times by contract and region. The agents steer traffic by these samples.
type sloReporter struct {
	eventLoop    *dispatch.EventLoop
	regionByZone map[string]string // only zones that belong to a region
	now          func() time.Duration

	// The following fields are used on the event loop's goroutine only.
	recorder         *slo.Recorder
	regionByEndpoint map[string]string
	pending          []slo.Sample
	contractsVersion uint64 // version of the contracts that the recorder measures
}

// addSLOReporter adds the node's latency samples to the client's reports, if SLOs are enabled.
func addSLOReporter(client *agentapi.Client, fleet operatorconfig.Fleet, eventLoop *dispatch.EventLoop) {
	if !fleet.SLO.Enabled {
		return
	}
	reporter := &sloReporter{
		eventLoop:    eventLoop,
		regionByZone: map[string]string{},
		now:          func() time.Duration { return fleet.SLO.ScaledTime(eventLoop.Now()) },
		recorder:     slo.NewRecorder(fleet.SLO.Config(), fleet.Name, fleet.Zone, time.Now().UnixNano()),
	}
	for region, zones := range fleet.Zones.Regions {
		for _, zone := range zones {
			reporter.regionByZone[zone] = region
		}
	}
	eventLoop.SetAttemptObserver(reporter.recordAttempt)
	extendClient(client, reporter.fillReport, func(response *agentapi.Response) error {
		reporter.applyContracts(response.Contracts)
		return nil
	})
}

// recordAttempt records the latency of an attempt. It is called on the event loop for each attempt that
// was answered.
func (r *sloReporter) recordAttempt(contract, endpoint string, latency time.Duration) {
	if region, ok := r.regionByEndpoint[endpoint]; ok {
		r.queueSample(r.recorder.Record(r.now(), contract, region, latency))
	}
}

// queueSample keeps a sample for the next report. A nil sample is ignored.
func (r *sloReporter) queueSample(sample *slo.Sample) {
	if sample == nil {
		return
	}
	if len(r.pending) == maxPendingSamples {
		r.pending = r.pending[1:]
	}
	r.pending = append(r.pending, *sample)
}

// fillReport adds the samples of completed intervals to the report.
func (r *sloReporter) fillReport(report *agentapi.Report) {
	regionByEndpoint := make(map[string]string, len(report.Servers))
	for _, endpoint := range report.Servers {
		if region, ok := r.regionByZone[endpoint.Zone]; ok {
			regionByEndpoint[endpoint.ID] = region
		} else if endpoint.Zone != "" { // a zone without a region is a region of its own
			regionByEndpoint[endpoint.ID] = endpoint.Zone
		}
	}
	r.eventLoop.RunOnLoop(func(time.Duration) {
		r.regionByEndpoint = regionByEndpoint
		r.queueSample(r.recorder.Rotate(r.now()))
		report.Samples, report.ContractsVersion, r.pending = r.pending, r.contractsVersion, nil
	})
}

// applyContracts replaces the measured contracts. It leaves out contracts on message latency: the node
// relays messages and can't match answers to requests.
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
