package decide

import (
	"time"

	"coralrelay/balance"
)

// delays picks which measured delays the module is told: for each next hop one
// a second while they are over a third of the shortest message aim, and one
// more when they are back under.
type delays struct {
	over  time.Duration
	every time.Duration
	told  map[string]time.Time // by next hop, while it is over
}

func newDelays(classes []balance.Class) delays {
	d := delays{every: time.Second, told: map[string]time.Time{}}
	for _, c := range classes {
		if aim := c.MessageAim / 3; aim > 0 && (d.over == 0 || aim < d.over) {
			d.over = aim
		}
	}
	return d
}

func (d *delays) worthTelling(server string, delay time.Duration, now time.Time) bool {
	last, was := d.told[server]
	switch {
	case d.over == 0:
		return false
	case delay <= d.over:
		delete(d.told, server)
		return was
	case was && now.Sub(last) < d.every:
		return false
	}
	d.told[server] = now
	return true
}
