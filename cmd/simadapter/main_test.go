package main

import (
	"bytes"
	"strings"
	"testing"
)

// instanceSettings are the settings of an instance in the form in which the simulator sends them.
const instanceSettings = `{"classes":[{"name":"chat","objective":0.4,"deadline":2,"effect":"read_like"}],"nInstances":1,` +
	`"granularity":0.001,"limits":{"probing":true,"mostTries":3},"report":{"via":"probe"},"registryMode":"pushed"}`

// registerList is a message that registers a list of one server.
const registerList = `{"cmd":"Register","table":0,"nodesList":[{"server":"s.a","status":"SERVING","size":1}]}` + "\n"

// batch returns a batch of lines. Its simulated time in seconds equals its round.
func batch(round string, lines ...string) string {
	return `{"cmd":"Clock","simTime":` + round + `,"round":` + round + `}` + "\n" +
		strings.Join(lines, "\n") + "\n" + `{"cmd":"OverToYou"}` + "\n"
}

func TestAnswersBatches(t *testing.T) {
	const (
		start      = `{"cmd":"Init","who":4,"entropy":1,"env":` + instanceSettings + `}`
		update     = `{"cmd":"Update","who":4,"mode":"C","stamp":1,"table":0}`
		clientGone = `{"cmd":"Abandoned","who":4,"ref":"c:a"}`
	)
	input := batch("1", start, registerList+update) +
		batch("2", `{"cmd":"Demand","who":4,"ref":"c:a","grade":"chat","deadline":4}`) +
		batch("3", `{"cmd":"StatusBack","who":4,"server":"s.a","rc":1,"lag":0.001,"report":{"x0":0.1}}`) +
		// stopped and started again in one batch: events that were in flight are ignored
		batch("4", `{"cmd":"Destroy","who":4}`, clientGone, strings.Replace(start, `"entropy":1`, `"entropy":2`, 1), clientGone)
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`{"cmd":"HealthCheck","who":4,"server":"s.a"}`, `{"cmd":"Ok","round":4}`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in the output\n%s", want, out.String())
		}
	}
}

func TestReportsErrors(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader(batch("7", `{"cmd":"Abandoned","who":9,"ref":"c:a"}`)), &out)
	if err == nil || !strings.Contains(err.Error(), "batch 7") || !strings.Contains(err.Error(), "Abandoned") {
		t.Errorf("event for an instance that was never started: error %v", err)
	}
	out.Reset()
	invalid := strings.Replace(instanceSettings, `"nInstances"`, `"guarantees":{"drainGrace":-1},"nInstances"`, 1)
	if err := run(strings.NewReader(batch("1", `{"cmd":"Init","who":4,"entropy":1,"env":`+invalid+`}`)), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `{"cmd":"Broken","who":4,"words":"settings.guarantees.drainGrace: -1`) {
		t.Errorf("invalid settings: no error line in the reply %s", out.String())
	}
}
