// Command simadapter runs instances of the decision module for the simulator: it reads batches of
// events from standard input and writes the actions to standard output, in the protocol of package
// simproto.
//
// It runs one goroutine and exits with code 0 at the end of its input. After a protocol error, or an
// event for an instance that was never started, it writes a line to standard error and exits with
// code 1. Invalid settings of an instance, and a panic in an instance, are reported to the simulator
// by an error line for that instance alone.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"coralrelay/balance"
	"coralrelay/internal/simproto"
)

// gcPercent makes garbage collections less frequent than the default, which leaves more CPU time to
// decisions. The heap is small and short-lived.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// adapter holds the instances of this process. A stopped instance is kept as nil: events that were in
// flight for it are ignored, while an event for an instance that was never started is an error.
type adapter struct {
	instances map[int]*balance.Balancer
	actions   []balance.Action // of one event; the slice is reused
	reply     []byte           // to one batch; the slice is reused
}

// run replies to batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader, writer := simproto.NewReader(in), bufio.NewWriter(out)
	a := adapter{instances: map[int]*balance.Balancer{}}
	var batch simproto.Batch
	for {
		err := reader.Read(&batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleBatch(&batch); err != nil {
			return err
		}
		if _, err := writer.Write(a.reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch sets the reply to a batch: the lines of its deliveries in order, and the line that ends
// it.
func (a *adapter) handleBatch(batch *simproto.Batch) error {
	a.reply = a.reply[:0]
	for i := range batch.Deliveries {
		if err := a.deliver(batch, &batch.Deliveries[i]); err != nil {
			return err
		}
	}
	a.reply = simproto.AppendDone(a.reply, batch.Round)
	return nil
}

// deliver passes one delivery to its instance and appends the resulting lines to the reply.
func (a *adapter) deliver(batch *simproto.Batch, d *simproto.Delivery) error {
	switch {
	case d.Start != nil:
		a.start(d)
		return nil
	case d.Stop:
		a.instances[d.Instance] = nil
		return nil
	}
	b, wasStarted := a.instances[d.Instance]
	if !wasStarted {
		return fmt.Errorf("batch %d: %s for instance %d, which was never started", batch.Round, d.Command, d.Instance)
	}
	if b == nil {
		return nil
	}
	a.handleEvent(batch, d, b)
	return nil
}

// start starts an instance, or appends an error line to the reply if its settings are invalid.
func (a *adapter) start(d *simproto.Delivery) {
	a.instances[d.Instance] = nil
	b, err := newBalancer(d.Start)
	if err != nil {
		a.reply = simproto.AppendError(a.reply, d.Instance, err.Error())
		return
	}
	a.instances[d.Instance] = b
}

// newBalancer returns a Balancer with the settings of a start, or why they can't be used.
func newBalancer(start *simproto.Start) (*balance.Balancer, error) {
	if start.Err != nil {
		return nil, start.Err
	}
	return balance.New(start.Seed, start.Settings)
}

// handleEvent passes one event to an instance and appends its actions to the reply. A panic becomes
// an error line for that instance.
func (a *adapter) handleEvent(batch *simproto.Batch, d *simproto.Delivery, b *balance.Balancer) {
	defer func() {
		if p := recover(); p != nil {
			a.reply = simproto.AppendError(a.reply, d.Instance, fmt.Sprint(p))
			fmt.Fprintf(os.Stderr, "simadapter: batch %d: %s: %v\n%s", batch.Round, d.Command, p, debug.Stack())
		}
	}()
	a.actions = b.Handle(batch.Now, d.Event, a.actions[:0])
	for _, action := range a.actions {
		a.reply = simproto.AppendAction(a.reply, d.Instance, action)
	}
}
