package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
)

// streamUpdates returns the updates of one response and the times at which they arrived. The
// response is written in pieces with a pause after each. The connection is closed after the last
// piece if closes is set.
func streamUpdates(t *testing.T, pieces []string, pause time.Duration, closes bool) (
	got []Update, times []time.Duration) {
	t.Helper()
	watcherSide, serviceSide := net.Pipe()
	sink := make(bufferedSink, 64)
	watcher := New("discovery:1", sink)
	watcher.Now = func() time.Time { return time.Unix(1796122725, 0).Add(time.Hour) } // after the listed starts
	watcher.Dial = func(context.Context, string, time.Time) (net.Conn, error) { return watcherSide, nil }
	stop := runWatcher(t.Context(), watcher)
	startedAt := time.Now()
	go func() {
		if request, _ := bufio.NewReader(serviceSide).ReadString('\n'); !strings.Contains(request, "from=41 ") {
			t.Errorf("request %q", request)
		}
		go func() { _, _ = io.Copy(io.Discard, serviceSide) }()
		for _, piece := range pieces {
			if _, err := io.WriteString(serviceSide, piece); err != nil {
				return
			}
			time.Sleep(pause)
		}
		if closes {
			serviceSide.Close()
		}
	}()
	watcher.Subscribe()
	<-sink // the cached list
	for len(got) == 0 || got[len(got)-1].Kind != balance.ListFailed {
		got, times = append(got, <-sink), append(times, time.Since(startedAt))
	}
	stop()
	serviceSide.Close()
	return got, times
}

// A message may be indented, and chunks may split it anywhere or hold several messages. Complete
// messages are reported in order. An incomplete message loses only itself, and the next call
// resumes after the last complete one.
func TestDecodesStreamSplitAnywhere(t *testing.T) {
	const fullList = `{"generation":43,"reset":true,"instances":[` + readyInstance + "," + drainingInstance + "]}\n"
	const removal = `{"generation":44,"reset":false,"instances":[{"instanceId":"s1","lifecycle":"left"},` +
		`{"instanceId":"never","lifecycle":"left"}]}` + "\n"
	var indented strings.Builder
	for _, text := range []string{fullList, removal} {
		var tree any
		if err := json.Unmarshal([]byte(text), &tree); err != nil {
			t.Fatal(err)
		}
		formatted, _ := json.MarshalIndent(tree, "\t", "    ")
		fmt.Fprintf(&indented, "%s\r\n\r\n", formatted)
	}
	singleBytes := []string{responseHead}
	for _, char := range fullList + "\n" + removal {
		singleBytes = append(singleBytes, chunked(string(char), ";a=1 ; b=\"2\""))
	}
	plainHead := strings.Replace(responseHead, "Transfer-Encoding: chunked\r\n", "", 1)
	tests := []struct {
		name   string
		pieces []string
		want   int64 // the generation of the last complete message
	}{
		{"two in one chunk", []string{responseHead, chunked(fullList+removal, "")}, 44},
		{"two in one chunk, with an extension", []string{responseHead + chunked(fullList+removal, ";sig=\"a;b\"")}, 44},
		{"one over many chunks", []string{responseHead, chunked(fullList[:7], ""), chunked(fullList[7:60], ";x"),
			chunked(fullList[60:]+removal[:1], ""), chunked(removal[1:], "")}, 44},
		{"a chunk for each byte", singleBytes, 44},
		{"header and chunks in odd pieces", []string{responseHead[:9], responseHead[9:] + "1", "\r",
			"\n{\r\n" + chunked(fullList[1:]+removal, "")}, 44},
		{"indented", []string{responseHead, chunked(indented.String(), "")}, 44},
		{"not chunked", []string{plainHead + fullList, "\n", removal}, 44},
		{"cut off in a list", []string{responseHead, chunked(fullList, ""), chunked(removal[:50], "")}, 43},
		{"cut off in a chunk", []string{responseHead, chunked(fullList, ""), chunked(removal, "")[:60]}, 43},
		{"ended in a list", []string{responseHead, chunked(fullList+removal[:50], "") + "0\r\n\r\n"}, 43},
		{"mismatched bracket", []string{responseHead, chunked(fullList+strings.Replace(removal, "]", "}", 1), "")}, 43},
		{"instances is not a list", []string{responseHead, chunked(fullList+`{"generation":44,"instances":7}`, "")}, 43},
		{"no generation", []string{responseHead, chunked(fullList+`{"instances":[]}`, "")}, 43},
		{"malformed chunk", []string{responseHead, chunked(fullList, ""), "zz\r\n" + removal}, 43},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, _ := streamUpdates(t, tt.pieces, 0, true)
				var want []Update
				for _, text := range []string{fullList, removal} {
					if update, err := Decode([]byte(text), "test"); err == nil && update.Generation <= tt.want {
						want = append(want, update)
					}
				}
				want = append(want, Update{Kind: balance.ListFailed, Generation: tt.want})
				if !reflect.DeepEqual(got, want) {
					t.Errorf("got %+v\nwant %+v", got, want)
				}
			})
		})
	}
}

// Each byte keeps a watch alive, wherever in a chunk it is. A complete list is reported when its
// last byte has arrived, even if its chunk continues.
func TestEveryByteKeepsWatchAlive(t *testing.T) {
	const fullList = `{"generation":43,"reset":true,"instances":[` + readyInstance + "]}\n"
	chunk := chunked(fullList+"\n\n\n", "")
	pieces := []string{responseHead, chunk[:20], chunk[20:40], chunk[40 : len(chunk)-4], chunk[len(chunk)-4:]}
	synctest.Test(t, func(t *testing.T) {
		const pause = heartbeatTimeout - time.Millisecond
		got, times := streamUpdates(t, pieces, pause, false)
		want := []time.Duration{3 * pause, 4*pause + heartbeatTimeout}
		if len(got) != 2 || got[0].Generation != 43 || !reflect.DeepEqual(times, want) {
			t.Errorf("got %+v at %v, want one list and the end at %v", got, times, want)
		}
	})
}
