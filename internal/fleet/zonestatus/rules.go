package zonestatus

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// after names the postures that may follow each.
var after = [...][]Posture{
	Open:      {Open, Suspect, Leaving},
	Suspect:   {Open, Suspect, Leaving},
	Leaving:   {Left, Held},
	Left:      {Returning},
	Held:      {Returning},
	Returning: {Returning, Leaving, Open},
}

// follows tells why one row can't take another's place.
func follows(cfg Config, old, n Seen) error {
	if n.Posture < Open || n.Posture > Held {
		return fmt.Errorf("%v is not known", n.Posture)
	}
	if !slices.Contains(after[old.Posture], n.Posture) {
		return fmt.Errorf("%v can't follow %v", n.Posture, old.Posture)
	}
	if err := shaped(cfg, n); err != nil {
		return err
	}
	switch n.Posture {
	case Returning:
		switch {
		case old.Posture != Returning && n.Step != 1:
			return fmt.Errorf("a return begins with step 1, not with %d", n.Step)
		case old.Posture == Returning && (n.Step > old.Step+1 || n.Step < old.Step-1):
			return fmt.Errorf("step %d can't follow step %d", n.Step, old.Step)
		case n.Since < old.Until:
			return fmt.Errorf("held until %d, it is %d", old.Until, n.Since)
		case n.Fails != old.Fails:
			return errors.New("fails: a return keeps them")
		}
	case Leaving:
		if old.Posture != Returning && n.Fails < 1 {
			return errors.New("fails: a zone that is left has failed once at least")
		}
	case Open:
		if old.Posture == Returning && old.Step < len(cfg.Steps) && n.Share > cfg.Steps[old.Step] {
			return fmt.Errorf("share %v is more than one step after step %d", n.Share, old.Step)
		}
	}
	return nil
}

// shaped checks a row by itself: each figure has its place in some postures only.
func shaped(cfg Config, n Seen) error {
	switch {
	case !(n.Share >= 0 && n.Share <= 1):
		return fmt.Errorf("share %v is outside 0 to 1", n.Share)
	case n.Posture.gone() && n.Share != 0:
		return fmt.Errorf("share %v, but it is %v", n.Share, n.Posture)
	case !n.Posture.gone() && n.Share == 0:
		return fmt.Errorf("share 0, but it is %v", n.Posture)
	case n.Posture != Returning && (n.Step != 0 || n.Rate != 0):
		return fmt.Errorf("a step or a rate, but it is %v", n.Posture)
	case n.Posture == Returning && (n.Step < 1 || n.Step > len(cfg.Steps)):
		return fmt.Errorf("step %d of %d", n.Step, len(cfg.Steps))
	case n.Posture == Returning && n.Share > cfg.Steps[n.Step-1]:
		return fmt.Errorf("share %v is more than step %d allows", n.Share, n.Step)
	case n.Posture == Returning && !(n.Rate > 0 && n.Rate <= mostRate):
		return fmt.Errorf("rate %v is outside 0 to %v", n.Rate, float64(mostRate))
	case n.Since < 0 || n.Fails < 0 || n.Fails > mostFails:
		return errors.New("since or fails is out of range")
	case n.Posture != Held && n.Until != 0:
		return fmt.Errorf("until, but it is %v", n.Posture)
	case n.Posture == Held && (n.Until < n.Since || n.Until-n.Since > int64(cfg.HoldMost/time.Millisecond)):
		return fmt.Errorf("held for %d ms, at most %v are allowed", n.Until-n.Since, cfg.HoldMost)
	}
	return nil
}
