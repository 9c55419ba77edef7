package store

import (
	"context"
	"errors"
)

// ErrBusy is that too much waits to be written.
var ErrQueueFull = errors.New("store: too much waits to be written")

// Write is one change of a group. Its Apply runs in the group's transaction; its
// Done is told when that is durable, or has failed as a whole.
type Write interface {
	Apply(tx *Tx) error
	Done(err error)
}

// Writer commits what waits in one transaction, while the one before is being
// synced: the disk's sync is paid once for a group, and a lone write waits for
// nobody.
type Writer struct {
	store *Store
	most  int
	queue chan Write
}

// NewWriter returns a Writer that commits up to most writes at once and lets so
// many wait.
func NewWriter(s *Store, most, waiting int) *Writer {
	return &Writer{store: s, most: most, queue: make(chan Write, waiting)}
}

// Submit queues a write and returns at once. If too much waits it is told so.
func (w *Writer) Submit(x Write) {
	select {
	case w.queue <- x:
	default:
		x.Done(ErrQueueFull)
	}
}

// Run commits until ctx ends; what waits then is committed first.
func (w *Writer) Run(ctx context.Context) {
	group := make([]Write, 0, w.most)
	for {
		group = group[:0]
		select {
		case x := <-w.queue:
			group = append(group, x)
		case <-ctx.Done():
			select {
			case x := <-w.queue:
				group = append(group, x)
			default:
				return
			}
		}
	more:
		for len(group) < w.most {
			select {
			case x := <-w.queue:
				group = append(group, x)
			default:
				break more
			}
		}
		err := w.store.Update(func(tx *Tx) error {
			for _, x := range group {
				if err := x.Apply(tx); err != nil {
					return err
				}
			}
			return nil
		})
		for _, x := range group {
			x.Done(err)
		}
	}
}
