package replog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/zonestatus"
)

// testTimeout is how long a test waits for an event before it fails.
const testTimeout = 10 * time.Second

// fleetCount numbers the fleets of this process, so that each uses different ports.
var fleetCount atomic.Int32

// testFleet is a fleet of members in one process, on loopback addresses specific to the process.
type testFleet struct {
	t       *testing.T
	voters  []Voter
	members map[string]*testMember
}

// testMember is a member that runs until kill is called.
type testMember struct {
	*Replica
	options  Options
	diskFull atomic.Bool // whether its disk writes fail
	cancel   context.CancelFunc
	done     chan struct{}
}

// newFleet starts voters v0, v1 ... in zones z0, z1 ...; all members are killed when the test
// ends.
func newFleet(t *testing.T, voters int) *testFleet {
	f := &testFleet{t: t, members: map[string]*testMember{}}
	port, pid := 2000+32*int(fleetCount.Add(1)), os.Getpid()
	for i := range voters {
		f.voters = append(f.voters, Voter{
			Name: fmt.Sprintf("v%d", i),
			Zone: fmt.Sprintf("z%d", i),
			Addr: fmt.Sprintf("127.%d.%d.%d:%d", 100+pid/256%100, pid%256, i+1, port),
		})
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

// start starts a member with its own directory. edit may be nil.
func (f *testFleet) start(name, bind string, edit func(*Options)) *testMember {
	f.t.Helper()
	m := &testMember{done: make(chan struct{})}
	m.options = Options{
		Name:   name,
		Dir:    filepath.Join(f.t.TempDir(), name),
		Bind:   bind,
		Voters: f.voters,
		Key:    []byte(testKey),
		InjectFault: func(string) error {
			if m.diskFull.Load() {
				return errors.New("disk full")
			}
			return nil
		},
	}
	if edit != nil {
		edit(&m.options)
	}
	r, err := Open(m.options)
	if err != nil {
		f.t.Fatal(err)
	}
	m.Replica = r
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() { // ends with kill
		defer close(m.done)
		_ = r.Run(ctx)
	}()
	f.members[name] = m
	return m
}

// kill stops a member as a signal would, and waits until it has stopped.
func (m *testMember) kill() {
	m.cancel()
	<-m.done
}

// restart starts a killed member again with the same directory. edit may be nil.
func (f *testFleet) restart(m *testMember, edit func(*Options)) *testMember {
	return f.start(m.options.Name, m.options.Bind, func(o *Options) {
		o.Dir = m.options.Dir
		if edit != nil {
			edit(o)
		}
	})
}

// await waits until ok returns true for a member's view. condition describes ok.
func (f *testFleet) await(m *testMember, condition string, ok func(View) bool) View {
	f.t.Helper()
	for deadline := time.After(testTimeout); ; {
		changed := m.Changed()
		if v := m.View(); ok(v) {
			return v
		}
		select {
		case <-changed:
		case <-deadline:
			v := m.View()
			f.t.Fatalf("%s: not %s; index %d, %+v", m.options.Name, condition, v.State.Index, v)
		}
	}
}

// awaitLeader waits for a leader within its lease that is not in excluded.
func (f *testFleet) awaitLeader(excluded ...*testMember) *testMember {
	f.t.Helper()
	found := make(chan *testMember, len(f.voters))
	stop := make(chan struct{})
	var watching sync.WaitGroup
	defer watching.Wait()
	defer close(stop)
	for _, v := range f.voters {
		m := f.members[v.Name]
		if slices.Contains(excluded, m) {
			continue
		}
		watching.Go(func() {
			for {
				changed := m.Changed()
				if v := m.View(); m.IsLeader() && v.WithinLease {
					found <- m
					return
				}
				select {
				case <-changed:
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

// zonesEntry returns an entry that is accepted at a version of the zones and creates the next
// version.
func zonesEntry(version uint64) logentry.Entry {
	change := zonestatus.Change{
		BaseVersion: version,
		Zones:       []string{"z0", "z1", "z2"},
		Shed:        float64(version%2+1) / 4,
	}
	body, _ := json.Marshal(change)
	return logentry.Entry{Kind: logentry.KindZones, ProposedBy: "test", Body: body}
}

// propose proposes an entry through a member, and fails the test unless it is accepted.
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

// awaitAll waits until ok returns true for the views of all members.
func (f *testFleet) awaitAll(condition string, ok func(View) bool) {
	f.t.Helper()
	for _, m := range f.members {
		f.await(m, condition, ok)
	}
}

// startFollower starts a follower on the first voter's IP address. Its name is f and the number n.
func startFollower(f *testFleet, n int) *testMember {
	at := netip.MustParseAddrPort(f.voters[0].Addr)
	return f.start(fmt.Sprintf("f%d", n), netip.AddrPortFrom(at.Addr(), at.Port()+uint16(n)).String(), nil)
}

// freshAtIndex returns a condition: the view is within the lease and has entry n.
func freshAtIndex(n uint64) func(View) bool {
	return func(v View) bool { return v.State.Index >= n && v.WithinLease }
}
