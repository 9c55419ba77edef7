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
	store    *Store
	maxBatch int
	queue    chan Write
}

// NewWriter returns a Writer that commits up to most writes at once and lets so
// many wait.
func NewWriter(store *Store, maxBatch, queueSize int) *Writer {
	return &Writer{store: store, maxBatch: maxBatch, queue: make(chan Write, queueSize)}
}

// Submit queues a write and returns at once. If too much waits it is told so.
func (w *Writer) Submit(write Write) {
	select {
	case w.queue <- write:
	default:
		write.Done(ErrQueueFull)
	}
}

// Run commits until ctx ends; what waits then is committed first.
func (w *Writer) Run(ctx context.Context) {
	batch := make([]Write, 0, w.maxBatch)
	for {
		batch = batch[:0]
		select {
		case write := <-w.queue:
			batch = append(batch, write)
		case <-ctx.Done():
			select {
			case write := <-w.queue:
				batch = append(batch, write)
			default:
				return
			}
		}
	more:
		for len(batch) < w.maxBatch {
			select {
			case write := <-w.queue:
				batch = append(batch, write)
			default:
				break more
			}
		}
		err := w.store.Update(func(tx *Tx) error {
			for _, write := range batch {
				if err := write.Apply(tx); err != nil {
					return err
				}
			}
			return nil
		})
		for _, write := range batch {
			write.Done(err)
		}
	}
}
