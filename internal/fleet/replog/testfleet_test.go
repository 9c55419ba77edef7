package replog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/zonestatus"
)

// patience is how long a test waits for an event before it fails.
const testTimeout = 10 * time.Second

var fleetCount atomic.Int32

// fleet is members in one process, on loopback addresses of the test's own.
type testFleet struct {
	t       *testing.T
	voters  []Voter
	members map[string]*testMember
}

type testMember struct {
	*Replica
	options  Options
	diskFull atomic.Bool // its disk
	cancel   context.CancelFunc
	done     chan struct{}
}

func newFleet(t *testing.T, voters int) *testFleet {
	f := &testFleet{t: t, members: map[string]*testMember{}}
	n, pid := fleetCount.Add(1), os.Getpid()
	for i := range voters {
		f.voters = append(f.voters, Voter{Name: fmt.Sprintf("v%d", i), Zone: fmt.Sprintf("z%d", i),
			Addr: fmt.Sprintf("127.%d.%d.%d:%d", 100+pid/256%100, pid%256, i+1, 2000+32*int(n))})
	}
	for _, v := range f.voters {
		f.start(v.Name, v.Addr, nil)
	}
	t.Cleanup(func() {
		for _, m := range f.members {
			m.kill()
		}
	})
	return f
}

func (f *testFleet) start(name, bind string, edit func(*Options)) *testMember {
	f.t.Helper()
	m := &testMember{done: make(chan struct{})}
	m.options = Options{Name: name, Dir: filepath.Join(f.t.TempDir(), name), Bind: bind, Voters: f.voters, Key: []byte("0123456789abcdef"),
		InjectFault: func(op string) error {
			if m.diskFull.Load() {
				return errors.New("disk full")
			}
			return nil
		}}
	if edit != nil {
		edit(&m.options)
	}
	r, err := Open(m.options)
	if err != nil {
		f.t.Fatal(err)
	}
	m.Replica = r
	ctx, end := context.WithCancel(context.Background())
	m.cancel = end
	go func() { defer close(m.done); _ = r.Run(ctx) }()
	f.members[name] = m
	return m
}

func (m *testMember) kill() { m.cancel(); <-m.done }

// again starts a member that was killed, on the same disk.
func (f *testFleet) restart(m *testMember, edit func(*Options)) *testMember {
	return f.start(m.options.Name, m.options.Bind, func(o *Options) {
		o.Dir = m.options.Dir
		if edit != nil {
			edit(o)
		}
	})
}

// until waits for a member's view.
func (f *testFleet) await(m *testMember, what string, ok func(View) bool) View {
	f.t.Helper()
	for deadline := time.After(testTimeout); ; {
		woken := m.Changed()
		if v := m.View(); ok(v) {
			return v
		}
		select {
		case <-woken:
		case <-deadline:
			v := m.View()
			f.t.Fatalf("%s: not %s; index %d, %+v", m.options.Name, what, v.State.Index, v)
		}
	}
}

// leader waits for one that is ready, other than those named.
func (f *testFleet) awaitLeader(not ...*testMember) *testMember {
	f.t.Helper()
	found := make(chan *testMember, len(f.voters))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	for _, v := range f.voters {
		m := f.members[v.Name]
		skip := false
		for _, n := range not {
			skip = skip || n == m
		}
		if skip {
			continue
		}
		wg.Go(func() {
			for {
				woken := m.Changed()
				if v := m.View(); m.IsLeader() && v.WithinLease {
					found <- m
					return
				}
				select {
				case <-woken:
				case <-stop:
					return
				}
			}
		})
	}
	select {
	case m := <-found:
		return m
	case <-time.After(testTimeout):
		f.t.Fatal("no leader")
		return nil
	}
}

// change is an entry that is taken on a version; each makes the next version.
func zonesEntry(version uint64) logentry.Entry {
	body, _ := json.Marshal(zonestatus.Change{BaseVersion: version, Zones: []string{"z0", "z1", "z2"}, Shed: float64(version%2+1) / 4})
	return logentry.Entry{Kind: logentry.KindZones, ProposedBy: "test", Body: body}
}

func (f *testFleet) propose(m *testMember) logentry.Outcome {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	out, err := m.Propose(ctx, zonesEntry(f.awaitLeader().View().State.Zones.Version))
	if err != nil || !out.Accepted {
		f.t.Fatalf("%s: proposed: %+v, %v", m.options.Name, out, err)
	}
	return out
}

func (f *testFleet) awaitAll(what string, ok func(View) bool) {
	f.t.Helper()
	for _, m := range f.members {
		f.await(m, what, ok)
	}
}

func startFollower(f *testFleet, n int) *testMember {
	at := netip.MustParseAddrPort(f.voters[0].Addr)
	return f.start(fmt.Sprintf("f%d", n), netip.AddrPortFrom(at.Addr(), at.Port()+uint16(n)).String(), nil)
}

func freshAtIndex(n uint64) func(View) bool {
	return func(v View) bool { return v.State.Index >= n && v.WithinLease }
}
