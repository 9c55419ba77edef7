package discovery

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// BenchmarkReadList measures how the cost of reading a complete list from a watch grows with the
// list. The list arrives in chunks of 4 kB.
func BenchmarkReadList(bm *testing.B) {
	for _, endpoints := range []int{20, 80, 320, 1280, 3200} {
		bm.Run(fmt.Sprint(endpoints, "endpoints"), func(bm *testing.B) {
			text := listJSON(endpoints)
			response := responseHead
			for _, piece := range splitText(text, 4096) {
				response += chunked(piece, "")
			}
			bm.SetBytes(int64(len(text)))
			bm.ReportAllocs()
			for bm.Loop() {
				if got := readOneList(response); got != endpoints {
					bm.Fatalf("%d endpoints", got)
				}
			}
		})
	}
}

// listJSON returns a complete list in the JSON form of the discovery service.
func listJSON(endpoints int) string {
	entries := make([]string, endpoints)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"instanceId":"s-%08x","hostPort":"10.1.%d.%d:7070","zone":"a","machineType":"m2",`+
			`"cell":3,"lifecycle":"active","weight":1.0,"startedAtMs":0}`, i, i/250, i%250)
	}
	return `{"generation":41,"reset":true,"instances":[` + strings.Join(entries, ",") + "]}\n"
}

// splitText splits a text into pieces of at most size bytes.
func splitText(text string, size int) (list []string) {
	for ; len(text) > size; text = text[size:] {
		list = append(list, text[:size])
	}
	return append(list, text)
}

// readOneList makes a call that receives the given response, and returns the number of endpoints in
// its first list, or -1 if the call fails.
func readOneList(response string) int {
	watcherSide, serviceSide := net.Pipe()
	defer serviceSide.Close()
	go func() {
		request := make([]byte, 4096)
		_, _ = serviceSide.Read(request)
		_, _ = serviceSide.Write([]byte(response))
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events := make(chan event)
	benchCall := &call{addr: "discovery", limits: defaultLimits, events: events}
	go benchCall.run(ctx, func(context.Context, string, time.Time) (net.Conn, error) {
		return watcherSide, nil
	})
	for ev := range events {
		if ev.err != nil {
			return -1
		}
		if ev.progress == progressMessage {
			return len(ev.update.Endpoints)
		}
	}
	return -1
}
