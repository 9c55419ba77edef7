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

// watched is what a watch tells of one answer's body, written piece by piece with a
// pause behind each, and when. The answer ends with its pieces if ends is set.
func watched(t *testing.T, pieces []string, pause time.Duration, ends bool) (got []Update, at []time.Duration) {
	t.Helper()
	near, far := net.Pipe()
	s := make(sink, 64)
	w := New("discovery:1", s)
	w.Dial = func(context.Context, string, time.Time) (net.Conn, error) { return near, nil }
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx, Update{Generation: 41}) }()
	begun := time.Now()
	go func() {
		if request, _ := bufio.NewReader(far).ReadString('\n'); !strings.Contains(request, "from=41 ") {
			t.Errorf("request %q", request)
		}
		go func() { _, _ = io.Copy(io.Discard, far) }()
		for _, piece := range pieces {
			if _, err := io.WriteString(far, piece); err != nil {
				return
			}
			time.Sleep(pause)
		}
		if ends {
			far.Close()
		}
	}()
	w.Subscribe()
	<-s // the known list
	for len(got) == 0 || got[len(got)-1].Kind != balance.ListFailed {
		got, at = append(got, <-s), append(at, time.Since(begun))
	}
	cancel()
	<-ended
	far.Close()
	return got, at
}

func chunked(text string, extension string) string {
	return fmt.Sprintf("%x%s\r\n%s\r\n", len(text), extension, text)
}

// A list may be indented, chunks may cut it anywhere, and hold several. What comes whole
// is told, in order; what does not costs itself alone, and the next call begins behind
// the last that came whole.
func TestStreams(t *testing.T) {
	const whole = `{"generation":43,"reset":true,"instances":[` + one + "," + two + "]}\n"
	const gone = `{"generation":44,"reset":false,"instances":[{"instanceId":"s1","lifecycle":"left"},{"instanceId":"never","lifecycle":"left"}]}` + "\n"
	var indented strings.Builder
	for _, text := range []string{whole, gone} {
		var tree any
		if err := json.Unmarshal([]byte(text), &tree); err != nil {
			t.Fatal(err)
		}
		spread, _ := json.MarshalIndent(tree, "\t", "    ")
		fmt.Fprintf(&indented, "%s\r\n\r\n", spread)
	}
	bytes := []string{head}
	for _, c := range whole + "\n" + gone {
		bytes = append(bytes, chunked(string(c), ";a=1 ; b=\"2\""))
	}
	raw := strings.Replace(head, "Transfer-Encoding: chunked\r\n", "", 1)
	tests := []struct {
		name   string
		pieces []string
		want   int64 // the last generation that comes whole
	}{
		{"two in one chunk", []string{head, chunked(whole+gone, "")}, 44},
		{"two in one chunk, with an extension", []string{head + chunked(whole+gone, ";sig=\"a;b\"")}, 44},
		{"one over many chunks", []string{head, chunked(whole[:7], ""), chunked(whole[7:60], ";x"), chunked(whole[60:]+gone[:1], ""), chunked(gone[1:], "")}, 44},
		{"a chunk for each byte", bytes, 44},
		{"head and chunks in odd pieces", []string{head[:9], head[9:] + "1", "\r", "\n{\r\n" + chunked(whole[1:]+gone, "")}, 44},
		{"indented", []string{head, chunked(indented.String(), "")}, 44},
		{"not chunked", []string{raw + whole, "\n", gone}, 44},
		{"cut off in a list", []string{head, chunked(whole, ""), chunked(gone[:50], "")}, 43},
		{"cut off in a chunk", []string{head, chunked(whole, ""), chunked(gone, "")[:60]}, 43},
		{"ended in a list", []string{head, chunked(whole+gone[:50], "") + "0\r\n\r\n"}, 43},
		{"another bracket", []string{head, chunked(whole+strings.Replace(gone, "]", "}", 1), "")}, 43},
		{"no list", []string{head, chunked(whole+`{"generation":44,"instances":7}`, "")}, 43},
		{"no generation", []string{head, chunked(whole+`{"instances":[]}`, "")}, 43},
		{"no chunk", []string{head, chunked(whole, ""), "zz\r\n" + gone}, 43},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, _ := watched(t, tt.pieces, 0, true)
				var want []Update
				for _, text := range []string{whole, gone} {
					if u, err := Decode([]byte(text)); err == nil && u.Generation <= tt.want {
						want = append(want, u)
					}
				}
				want = append(want, Update{Kind: balance.ListFailed, Generation: tt.want})
				if !reflect.DeepEqual(got, want) {
					t.Errorf("told %+v\nwant %+v", got, want)
				}
			})
		})
	}
}

// Each byte shows that a watch lives, wherever in a chunk it stands. A whole list is told
// when its last byte is there, though its chunk goes on.
func TestSlowStream(t *testing.T) {
	const list = `{"generation":43,"reset":true,"instances":[` + one + "]}\n"
	chunk := chunked(list+"\n\n\n", "")
	pieces := []string{head, chunk[:20], chunk[20:40], chunk[40 : len(chunk)-4], chunk[len(chunk)-4:]}
	synctest.Test(t, func(t *testing.T) {
		got, at := watched(t, pieces, dead-time.Millisecond, false)
		want := []time.Duration{3 * (dead - time.Millisecond), 4*(dead-time.Millisecond) + dead}
		if len(got) != 2 || got[0].Generation != 43 || !reflect.DeepEqual(at, want) {
			t.Errorf("told %+v at %v, want one list and the end at %v", got, at, want)
		}
	})
}
