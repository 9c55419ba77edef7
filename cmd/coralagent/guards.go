package main

import (
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/replog"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
	"coralrelay/internal/mutation"
)

// The functions of this file return the guards that the selected mutation disables; a field
// that is true disables its guard. Without the build tag mutation, all fields are false and all
// guards are in force.

func disabledQuotaGuards() quota.Guards {
	return quota.Guards{
		RankedAllocation: mutation.Enabled("ranks"),
		LeaseExpiry:      mutation.Enabled("expire"),
		Quorum:           mutation.Enabled("quorum"),
		RetryBudget:      mutation.Enabled("budget"),
	}
}

func disabledZoneGuards() zonestatus.Guards {
	return zonestatus.Guards{
		PanicThreshold:       mutation.Enabled("panic"),
		RecoveryRamp:         mutation.Enabled("return"),
		ReporterConnectivity: mutation.Enabled("accuse"),
		HoldDown:             mutation.Enabled("hold"),
		ObservingZone:        mutation.Enabled("viewpoint"),
		Quorum:               mutation.Enabled("quorum"),
	}
}

func disabledSLOGuards() slo.Guards {
	return slo.Guards{
		GradualMoves:   mutation.Enabled("greedy"),
		Confidence:     mutation.Enabled("confidence"),
		Hysteresis:     mutation.Enabled("hysteresis"),
		ExploreLimit:   mutation.Enabled("explore"),
		CapacityLimits: mutation.Enabled("limits"),
		EvidenceExpiry: mutation.Enabled("stale-evidence"),
	}
}

func disabledAccountChecks() account.DisabledChecks {
	return account.DisabledChecks{
		ParentLimit:       mutation.Enabled("parent"),
		GrantSubtree:      mutation.Enabled("subtree"),
		RevokeDescendants: mutation.Enabled("revoke"),
		AtomicChange:      mutation.Enabled("half"),
		LendingRecall:     mutation.Enabled("callback"),
	}
}

func replicaMutations() replog.Mutations {
	return replog.Mutations{
		ApplyUncommitted: mutation.Enabled("commit"),
		SkipHashCheck:    mutation.Enabled("chain"),
		SkipDiskSync:     mutation.Enabled("sync"),
		AlwaysFresh:      mutation.Enabled("stale"),
	}
}
