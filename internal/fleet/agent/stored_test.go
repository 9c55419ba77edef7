package agent

import (
	"fmt"
	"testing"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/storedtest"
	"coralrelay/internal/fleet/zonestatus"
)

// What 'coralctl' reads as the answer to the methods "propose" and "check". The file was
// written by the code of commit 011f0a6 with
//
//	go test ./internal/fleet/agent -run TestStored -update
func TestStoredAnswerToOperators(t *testing.T) {
	outcome := logentry.Outcome{Index: 101, Accepted: true, Reason: "why it was not"}
	storedtest.AssertJSON(t, "outcome.json", ProposalOutcome{outcome})
}

// The words that the answer to the method "state" has for the status of zones and of members.
func TestStatusWordsInOperatorAnswers(t *testing.T) {
	got := fmt.Sprint(zonestatus.Active, zonestatus.Suspect, zonestatus.Evacuating, zonestatus.Evacuated,
		zonestatus.Recovering, zonestatus.HeldBack, quota.Alive, quota.Failed, quota.Left)
	if want := "open suspect leaving left returning held alive failed left"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
