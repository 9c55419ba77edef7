package agent

import (
	"fmt"
	"testing"

	"coralrelay/internal/fleet/entry"
	"coralrelay/internal/fleet/share"
	"coralrelay/internal/fleet/storedtest"
	"coralrelay/internal/fleet/zone"
)

// What 'coralctl' reads as the answer to the asks "propose" and "check". The file was
// written by the code of commit 011f0a6 with
//
//	go test ./internal/fleet/agent -run TestStored -update
func TestStoredAnswerToOperators(t *testing.T) {
	storedtest.JSON(t, "outcome.json", Outcome{entry.Outcome{Index: 101, Taken: true, Reason: "why it was not"}})
}

// The words that the answer to the ask "state" has for postures and for members' statuses.
func TestWordsInAnswersToOperators(t *testing.T) {
	got := fmt.Sprint(zone.Open, zone.Suspect, zone.Leaving, zone.Left, zone.Returning, zone.Held, share.Alive, share.Failed, share.Left)
	if want := "open suspect leaving left returning held alive failed left"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
