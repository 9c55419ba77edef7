package main

import (
	"bytes"
	"strings"
	"testing"
)

// env is the settings of an instance, as the simulator sends them.
const env = `{"classes":[{"name":"chat","objective":0.4,"deadline":2,"effect":"read_like"}],"nInstances":1,` +
	`"granularity":0.001,"limits":{"probing":true,"mostTries":3},"report":{"via":"probe"},"registryMode":"pushed"}`

// list registers a list of one server.
const list = `{"cmd":"Register","table":0,"nodesList":[{"server":"s.a","status":"SERVING","size":1}]}` + "\n"

// batch returns a batch of lines, at the time of its round in seconds.
func batch(round string, lines ...string) string {
	return `{"cmd":"Clock","simTime":` + round + `,"round":` + round + `}` + "\n" +
		strings.Join(lines, "\n") + "\n" + `{"cmd":"OverToYou"}` + "\n"
}

func TestAnswersBatches(t *testing.T) {
	const (
		start  = `{"cmd":"Init","who":4,"entropy":1,"env":` + env + `}`
		update = `{"cmd":"Update","who":4,"mode":"C","stamp":1,"table":0}`
		gone   = `{"cmd":"Abandoned","who":4,"ref":"c:a"}`
	)
	input := batch("1", start, list+update) +
		batch("2", `{"cmd":"Demand","who":4,"ref":"c:a","grade":"chat","deadline":4}`) +
		batch("3", `{"cmd":"StatusBack","who":4,"server":"s.a","rc":1,"lag":0.001,"report":{"x0":0.1}}`) +
		// stopped and started anew in one batch: what was in flight is void
		batch("4", `{"cmd":"Destroy","who":4}`, gone, strings.Replace(start, `"entropy":1`, `"entropy":2`, 1), gone)
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`{"cmd":"HealthCheck","who":4,"server":"s.a"}`, `{"cmd":"Ok","round":4}`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in\n%s", want, out.String())
		}
	}
}

func TestReportsFaults(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader(batch("7", `{"cmd":"Abandoned","who":9,"ref":"c:a"}`)), &out)
	if err == nil || !strings.Contains(err.Error(), "batch 7") || !strings.Contains(err.Error(), "Abandoned") {
		t.Errorf("event for an instance never started: error %v", err)
	}
	out.Reset()
	bad := strings.Replace(env, `"nInstances"`, `"guarantees":{"drainGrace":-1},"nInstances"`, 1)
	if err := run(strings.NewReader(batch("1", `{"cmd":"Init","who":4,"entropy":1,"env":`+bad+`}`)), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `{"cmd":"Broken","who":4,"words":"settings.guarantees.drainGrace: -1`) {
		t.Errorf("bad settings: %s", out.String())
	}
}
