package agent

import (
	"fmt"
	"testing"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/storedtest"
	"coralrelay/internal/fleet/zonestatus"
)

// The response to the methods "propose" and "check", which 'coralctl' decodes. The stored file was
// written by the code of commit 011f0a6 with
//
//	go test ./internal/fleet/agent -run TestStored -update
func TestStoredAnswerToOperators(t *testing.T) {
	outcome := logentry.Outcome{Index: 101, Accepted: true, Reason: "why it was not"}
	storedtest.AssertJSON(t, "outcome.json", ProposalOutcome{outcome})
}

// The names of zone statuses and member statuses in the response to the method "state".
func TestStatusWordsInOperatorAnswers(t *testing.T) {
	got := fmt.Sprint(zonestatus.Active, zonestatus.Suspect, zonestatus.Evacuating, zonestatus.Evacuated,
		zonestatus.Recovering, zonestatus.HeldBack, quota.Alive, quota.Failed, quota.Left)
	if want := "open suspect leaving left returning held alive failed left"; got != want {
		t.Errorf("names %s, want %s", got, want)
	}
}
