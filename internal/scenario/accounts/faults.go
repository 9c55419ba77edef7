package accounts

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"slices"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/scenario/faultproxy"
	"coralrelay/internal/scenario/testbed"
)

// cut is what befalls a link that is broken.
var cut = faultproxy.Fault{Cut: true}

// spoiled notes that something befalls an agent, until mended, which comes just before it
// is undone.
func (s *scene) spoiled(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[name] = append(s.faults[name], span{from: time.Now()})
}

func (s *scene) mended(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[name][len(s.faults[name])-1].until = time.Now()
}

// head names the leader, which must be known, and notes that it is lost from now on.
func (s *scene) head(ctx context.Context) (string, error) {
	name := ""
	if _, ok := testbed.Await(ctx, lostMost, func() bool { name = s.watch.leader(); return name != "" }); !ok && ctx.Err() == nil {
		return "", fmt.Errorf("no leader: %s", s.watch.say())
	}
	s.spoiled(name)
	s.mu.Lock()
	s.lost = append(s.lost, time.Now())
	s.mu.Unlock()
	s.AddMetric("leaders_lost", 1)
	return name, ctx.Err()
}

// other draws an agent that is none of some, of the voters or of the others.
func (s *scene) other(rng *mrand.Rand, votes bool, but ...string) string {
	all := s.Names[s.Voters:]
	if votes {
		all = s.Names[:s.Voters]
	}
	for {
		if name := all[rng.IntN(len(all))]; !slices.Contains(but, name) {
			return name
		}
	}
}

func (s *scene) rest(but string) []string {
	return slices.DeleteFunc(slices.Clone(s.Names), func(name string) bool { return name == but })
}

// back waits until an agent follows again, and has its vote if it had one.
func (s *scene) back(ctx context.Context, step, name string) {
	most := backMost
	if s.Metric("not_back") > 0 { // it is broken already, and the verdict can come
		most = time.Second
	}
	took, came := testbed.Await(ctx, most, func() bool {
		l, up := s.watch.now(name)
		return up && l.WithinLease && (l.Role == "follower" || l.Role == "voter" || l.Role == "leader")
	})
	s.SetMetric(step+"_back_ms", max(s.Metric(step+"_back_ms"), float64(took.Milliseconds())))
	if !came && ctx.Err() == nil {
		s.AddMetric("not_back", 1)
		s.AddViolation("back", fmt.Sprintf("%s: %s does not follow again after %v: %s", step, name, most, s.watch.say()))
	}
}

// leader kills the leader's agent, twice, and starts it again.
func (s *scene) leader(ctx context.Context, _ *mrand.Rand) error {
	for range 2 {
		name, err := s.head(ctx)
		if err != nil {
			return err
		}
		s.Agents[name].Kill()
		fake.Sleep(ctx, 1800*time.Millisecond)
		s.mended(name)
		if err := s.Agents[name].Start(); err != nil {
			return err
		}
		s.back(ctx, "leader", name)
	}
	return nil
}

// oneWay cuts one direction: what the leader says to another voter, then all that is said
// to the leader, which must not go on leading.
func (s *scene) oneWay(ctx context.Context, rng *mrand.Rand) error {
	name := s.watch.leader()
	deaf := s.other(rng, true, name)
	s.spoiled(deaf)
	s.Proxy.Set(name, deaf, cut)
	fake.Sleep(ctx, 1500*time.Millisecond)
	s.mended(deaf)
	s.Proxy.Heal()
	s.back(ctx, "oneway", deaf)
	name, err := s.head(ctx)
	if err != nil {
		return err
	}
	s.Proxy.SetOneWay(s.rest(name), []string{name}, cut)
	fake.Sleep(ctx, 2*time.Second)
	s.mended(name)
	s.Proxy.Heal()
	s.back(ctx, "oneway", name)
	return nil
}

// apart cuts off a follower for longer than the lease, and the leader, while changes are
// brought to it that it can't have committed.
func (s *scene) apart(ctx context.Context, rng *mrand.Rand) error {
	lone := s.other(rng, false)
	s.spoiled(lone)
	s.Proxy.SetBetween([]string{lone}, s.rest(lone), cut)
	fake.Sleep(ctx, lease+1200*time.Millisecond)
	if l, up := s.watch.now(lone); up && l.WithinLease && l.State.Index < s.committed(time.Now().Add(-lease-200*time.Millisecond)) {
		s.AddViolation("fresh", fmt.Sprintf("%s says that its word is fresh, %v after it was cut off", lone, lease+1200*time.Millisecond))
	}
	s.mended(lone)
	s.Proxy.Heal()
	s.back(ctx, "apart", lone)
	name, err := s.head(ctx)
	if err != nil {
		return err
	}
	s.Proxy.SetBetween([]string{name}, s.rest(name), cut)
	for i, t := range s.tree.admins {
		base, _ := s.watch.tree(name)
		w := &writer{team: t, rng: rng}
		s.writers.Go(func() {
			s.propose(t.key, name, account.Change{BaseVersion: base.Version, Ops: []account.Op{w.put(t.path, fmt.Sprintf("lone%d", i))}}, "cut-off", "")
		})
	}
	fake.Sleep(ctx, 2*time.Second)
	s.mended(name)
	s.Proxy.Heal()
	s.back(ctx, "apart", name)
	return nil
}

// disk has the leader's disk fill up, and be freed.
func (s *scene) disk(ctx context.Context, _ *mrand.Rand) error {
	name, err := s.head(ctx)
	if err != nil {
		return err
	}
	if err := s.Agents[name].SetDiskFull(true); err != nil {
		return err
	}
	fake.Sleep(ctx, 2500*time.Millisecond)
	if l, up := s.watch.now(name); !up || l.DiskError == "" || l.Role == "leader" {
		s.AddViolation("disk", fmt.Sprintf("%s with a full disk: up %v, role %s, disk %q", name, up, l.Role, l.DiskError))
	}
	s.mended(name)
	if err := s.Agents[name].SetDiskFull(false); err != nil {
		return err
	}
	s.back(ctx, "disk", name)
	return nil
}

// stall stops a follower, then the leader, and has them go on as if nothing had been.
func (s *scene) stall(ctx context.Context, rng *mrand.Rand) error {
	for _, follows := range [2]bool{true, false} {
		name := s.other(rng, false)
		if follows {
			s.spoiled(name)
		} else if lead, err := s.head(ctx); err != nil {
			return err
		} else {
			name = lead
		}
		s.Agents[name].Pause()
		fake.Sleep(ctx, 2200*time.Millisecond)
		s.mended(name)
		s.Agents[name].Resume()
		s.back(ctx, "stall", name)
	}
	return nil
}

// many has several things go wrong at once: the leader is killed, a follower is cut off one
// way, and another stalls.
func (s *scene) many(ctx context.Context, rng *mrand.Rand) error {
	deaf := s.other(rng, false)
	slow := s.other(rng, false, deaf)
	name, err := s.head(ctx)
	if err != nil {
		return err
	}
	s.spoiled(deaf)
	s.spoiled(slow)
	s.Agents[name].Kill()
	s.Proxy.SetOneWay(s.rest(deaf), []string{deaf}, cut)
	s.Agents[slow].Pause()
	fake.Sleep(ctx, 2*time.Second)
	all := []string{name, deaf, slow}
	for _, one := range all {
		s.mended(one)
	}
	if err := s.Agents[name].Start(); err != nil {
		return err
	}
	s.Agents[slow].Resume()
	s.Proxy.Heal()
	for _, one := range all {
		s.back(ctx, "many", one)
	}
	return nil
}
