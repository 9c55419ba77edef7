package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

// withKey returns a valid settings object in which the value of one key is replaced.
func withKey(t *testing.T, key string, value any) json.RawMessage {
	t.Helper()
	var s map[string]any
	if err := json.Unmarshal([]byte(`{"classes":[{"name":"a","objective":0.3,"deadline":2,"effect":"idempotency_key","window":5}],
		"domain":{"messageAim":[0.06]},"granularity":0.004,"nInstances":3,"guarantees":{"askWithin":10,"coldFrom":0.2,
		"drainGrace":0.3,"graceToAnswer":0.016,"rampTime":20,"tipAfter":1.5,"tipMultiple":3},
		"limits":{"connectTimeout":0.25,"maxRetryAfter":1,"mostTries":6}}`), &s); err != nil {
		t.Fatal(err)
	}
	object := s
	path := strings.Split(key, ".")
	for _, name := range path[:len(path)-1] {
		switch next := object[name].(type) {
		case map[string]any:
			object = next
		case []any:
			object = next[0].(map[string]any)
		}
	}
	object[path[len(path)-1]] = value
	raw, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A value that cannot be valid in any deployment is rejected with an error that names its key. A negative
// time used to remove a limit, and a time of 1e13 s overflowed, with the same effect.
func TestRejectsImpossibleValues(t *testing.T) {
	times := []string{"granularity", "guarantees.askWithin", "guarantees.drainGrace", "guarantees.graceToAnswer", "guarantees.rampTime",
		"guarantees.tipAfter", "limits.connectTimeout", "limits.maxRetryAfter", "classes.objective", "classes.window"}
	for _, key := range times {
		for _, value := range []any{-1, 1e13, 1e300, "soon"} {
			_, err := Decode(withKey(t, key, value))
			if last := key[strings.LastIndex(key, ".")+1:]; err == nil || !strings.HasPrefix(err.Error(), "settings") || !strings.Contains(err.Error(), last) {
				t.Errorf("%s: %v: %v", key, value, err)
			}
		}
		if _, err := Decode(withKey(t, key, 0)); err != nil { // 0 disables the feature
			t.Errorf("%s: 0: %v", key, err)
		}
	}
	for key, value := range map[string]any{"granularity": 1, "guarantees.tipMultiple": -3, "nInstances": -1, "classes.effect": "any",
		"classes.group": "rack", "domain.messageAim": []float64{-1}} {
		if _, err := Decode(withKey(t, key, value)); err == nil || !strings.Contains(err.Error(), key[strings.LastIndex(key, ".")+1:]) {
			t.Errorf("%s: %v: %v", key, value, err)
		}
	}
}

// Unknown keys are ignored, and so are unknown values of keys that may be missing without harm.
func TestIgnoresUnknownKeys(t *testing.T) {
	for key, value := range map[string]any{"colour": "red", "registryMode": "by_pigeon", "report": map[string]any{"via": "smoke"}} {
		if _, err := Decode(withKey(t, key, value)); err != nil {
			t.Errorf("%s: %v: %v", key, value, err)
		}
	}
}

// If the settings have no SubscribeTimeout, a node uses that of the protocol; without one it would have no
// backoff.
func TestWatchedListHasSubscribeTimeout(t *testing.T) {
	for mode, immediately := range map[string]bool{"on_request": false, "pushed": true} {
		for _, within := range []float64{0, 10} {
			s, err := Decode(withKey(t, "guarantees.askWithin", within))
			if err != nil {
				t.Fatal(err)
			}
			s.SubscribeRequired = mode == "on_request"
			want := 10 * time.Second
			if within == 0 {
				want = defaultSubscribeTimeout
			}
			if got := ForWatch(s); !got.SubscribeRequired || got.SubscribeImmediately != immediately || got.SubscribeTimeout != want {
				t.Error(fmt.Sprint(mode, " ", within), got.SubscribeRequired, got.SubscribeImmediately, got.SubscribeTimeout)
			}
		}
	}
}
