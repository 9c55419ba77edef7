package zonestatus

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// allowedTransitions lists the statuses that may follow each status.
var allowedTransitions = [...][]Status{
	Active:     {Active, Suspect, Evacuating},
	Suspect:    {Active, Suspect, Evacuating},
	Evacuating: {Evacuated, HeldBack},
	Evacuated:  {Recovering},
	HeldBack:   {Recovering},
	Recovering: {Recovering, Evacuating, Active},
}

// checkTransition returns an error if next may not replace old.
func checkTransition(cfg Config, old, next PairStatus) error {
	if next.Status < Active || next.Status > HeldBack {
		return fmt.Errorf("%v is not known", next.Status)
	}
	if !slices.Contains(allowedTransitions[old.Status], next.Status) {
		return fmt.Errorf("%v can't follow %v", next.Status, old.Status)
	}
	if err := checkPair(cfg, next); err != nil {
		return err
	}
	switch next.Status {
	case Recovering:
		return checkRecovering(old, next)
	case Evacuating:
		if old.Status != Recovering && next.Failures < 1 {
			return errors.New("fails: a zone that is left has failed once at least")
		}
	case Active:
		if old.Status == Recovering && old.Step < len(cfg.RampSteps) && next.Share > cfg.RampSteps[old.Step] {
			return fmt.Errorf("share %v is more than one step after step %d", next.Share, old.Step)
		}
	}
	return nil
}

// checkRecovering checks a transition to a step of a recovery ramp.
func checkRecovering(old, next PairStatus) error {
	switch {
	case old.Status != Recovering && next.Step != 1:
		return fmt.Errorf("a return begins with step 1, not with %d", next.Step)
	case old.Status == Recovering && (next.Step > old.Step+1 || next.Step < old.Step-1):
		return fmt.Errorf("step %d can't follow step %d", next.Step, old.Step)
	case next.ChangedAt < old.HeldUntil:
		return fmt.Errorf("held until %d, it is %d", old.HeldUntil, next.ChangedAt)
	case next.Failures != old.Failures:
		return errors.New("fails: a return keeps them")
	}
	return nil
}

// checkPair checks the fields of a pair, some of which may be set in certain statuses only.
func checkPair(cfg Config, pair PairStatus) error {
	if err := checkShare(pair); err != nil {
		return err
	}
	if err := checkRampStep(cfg, pair); err != nil {
		return err
	}
	return checkTimes(cfg, pair)
}

func checkShare(pair PairStatus) error {
	switch {
	case !(pair.Share >= 0 && pair.Share <= 1):
		return fmt.Errorf("share %v is outside 0 to 1", pair.Share)
	case pair.Status.isEvacuated() && pair.Share != 0:
		return fmt.Errorf("share %v, but it is %v", pair.Share, pair.Status)
	case !pair.Status.isEvacuated() && pair.Share == 0:
		return fmt.Errorf("share 0, but it is %v", pair.Status)
	}
	return nil
}

func checkRampStep(cfg Config, pair PairStatus) error {
	if pair.Status != Recovering {
		if pair.Step != 0 || pair.Rate != 0 {
			return fmt.Errorf("a step or a rate, but it is %v", pair.Status)
		}
		return nil
	}
	switch {
	case pair.Step < 1 || pair.Step > len(cfg.RampSteps):
		return fmt.Errorf("step %d of %d", pair.Step, len(cfg.RampSteps))
	case pair.Share > cfg.RampSteps[pair.Step-1]:
		return fmt.Errorf("share %v is more than step %d allows", pair.Share, pair.Step)
	case !(pair.Rate > 0 && pair.Rate <= maxRecoveryRate):
		return fmt.Errorf("rate %v is outside 0 to %v", pair.Rate, float64(maxRecoveryRate))
	}
	return nil
}

func checkTimes(cfg Config, pair PairStatus) error {
	holdMs := pair.HeldUntil - pair.ChangedAt
	isTooLong := holdMs > int64(cfg.MaxHoldInterval/time.Millisecond)
	switch {
	case pair.ChangedAt < 0 || pair.Failures < 0 || pair.Failures > maxFailures:
		return errors.New("since or fails is out of range")
	case pair.Status != HeldBack && pair.HeldUntil != 0:
		return fmt.Errorf("until, but it is %v", pair.Status)
	case pair.Status == HeldBack && (pair.HeldUntil < pair.ChangedAt || isTooLong):
		return fmt.Errorf("held for %d ms, at most %v are allowed", holdMs, cfg.MaxHoldInterval)
	}
	return nil
}
