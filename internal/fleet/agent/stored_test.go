package agent

import (
	"fmt"
	"testing"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/storedtest"
	"coralrelay/internal/fleet/zonestatus"
)

// What 'coralctl' reads as the answer to the asks "propose" and "check". The file was
// written by the code of commit 011f0a6 with
//
//	go test ./internal/fleet/agent -run TestStored -update
func TestStoredAnswerToOperators(t *testing.T) {
	storedtest.AssertJSON(t, "outcome.json", ProposalOutcome{logentry.Outcome{Index: 101, Accepted: true, Reason: "why it was not"}})
}

// The words that the answer to the ask "state" has for postures and for members' statuses.
func TestStatusWordsInOperatorAnswers(t *testing.T) {
	got := fmt.Sprint(zonestatus.Active, zonestatus.Suspect, zonestatus.Evacuating, zonestatus.Evacuated, zonestatus.Recovering, zonestatus.HeldBack, quota.Alive, quota.Failed, quota.Left)
	if want := "open suspect leaving left returning held alive failed left"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
