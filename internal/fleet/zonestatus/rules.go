package zonestatus

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// after names the postures that may follow each.
var allowedTransitions = [...][]Status{
	Active:     {Active, Suspect, Evacuating},
	Suspect:    {Active, Suspect, Evacuating},
	Evacuating: {Evacuated, HeldBack},
	Evacuated:  {Recovering},
	HeldBack:   {Recovering},
	Recovering: {Recovering, Evacuating, Active},
}

// follows tells why one row can't take another's place.
func checkTransition(cfg Config, old, n PairStatus) error {
	if n.Status < Active || n.Status > HeldBack {
		return fmt.Errorf("%v is not known", n.Status)
	}
	if !slices.Contains(allowedTransitions[old.Status], n.Status) {
		return fmt.Errorf("%v can't follow %v", n.Status, old.Status)
	}
	if err := checkPair(cfg, n); err != nil {
		return err
	}
	switch n.Status {
	case Recovering:
		switch {
		case old.Status != Recovering && n.Step != 1:
			return fmt.Errorf("a return begins with step 1, not with %d", n.Step)
		case old.Status == Recovering && (n.Step > old.Step+1 || n.Step < old.Step-1):
			return fmt.Errorf("step %d can't follow step %d", n.Step, old.Step)
		case n.ChangedAt < old.HeldUntil:
			return fmt.Errorf("held until %d, it is %d", old.HeldUntil, n.ChangedAt)
		case n.Failures != old.Failures:
			return errors.New("fails: a return keeps them")
		}
	case Evacuating:
		if old.Status != Recovering && n.Failures < 1 {
			return errors.New("fails: a zone that is left has failed once at least")
		}
	case Active:
		if old.Status == Recovering && old.Step < len(cfg.RampSteps) && n.Share > cfg.RampSteps[old.Step] {
			return fmt.Errorf("share %v is more than one step after step %d", n.Share, old.Step)
		}
	}
	return nil
}

// shaped checks a row by itself: each figure has its place in some postures only.
func checkPair(cfg Config, n PairStatus) error {
	switch {
	case !(n.Share >= 0 && n.Share <= 1):
		return fmt.Errorf("share %v is outside 0 to 1", n.Share)
	case n.Status.isEvacuated() && n.Share != 0:
		return fmt.Errorf("share %v, but it is %v", n.Share, n.Status)
	case !n.Status.isEvacuated() && n.Share == 0:
		return fmt.Errorf("share 0, but it is %v", n.Status)
	case n.Status != Recovering && (n.Step != 0 || n.Rate != 0):
		return fmt.Errorf("a step or a rate, but it is %v", n.Status)
	case n.Status == Recovering && (n.Step < 1 || n.Step > len(cfg.RampSteps)):
		return fmt.Errorf("step %d of %d", n.Step, len(cfg.RampSteps))
	case n.Status == Recovering && n.Share > cfg.RampSteps[n.Step-1]:
		return fmt.Errorf("share %v is more than step %d allows", n.Share, n.Step)
	case n.Status == Recovering && !(n.Rate > 0 && n.Rate <= maxRecoveryRate):
		return fmt.Errorf("rate %v is outside 0 to %v", n.Rate, float64(maxRecoveryRate))
	case n.ChangedAt < 0 || n.Failures < 0 || n.Failures > maxFailures:
		return errors.New("since or fails is out of range")
	case n.Status != HeldBack && n.HeldUntil != 0:
		return fmt.Errorf("until, but it is %v", n.Status)
	case n.Status == HeldBack && (n.HeldUntil < n.ChangedAt || n.HeldUntil-n.ChangedAt > int64(cfg.MaxHoldInterval/time.Millisecond)):
		return fmt.Errorf("held for %d ms, at most %v are allowed", n.HeldUntil-n.ChangedAt, cfg.MaxHoldInterval)
	}
	return nil
}
