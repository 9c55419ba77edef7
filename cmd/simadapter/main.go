// Command simadapter runs instances of the decision module for the simulator: it reads batches of
// events from standard input and writes the actions to standard output, in the protocol of package
// simproto.
//
// It has one goroutine and ends with its input, with exit code 0. An error of the protocol, or an
// event for an instance that was never started, ends it with exit code 1 and a line on standard
// error. Settings that an instance can't work with, and a panic in an instance, are answered by an
// error line for that instance alone.
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

// gcPercent lets the heap, which is small and short-lived, grow further between two collections:
// fewer of them leave the CPU to decisions.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// adapter keeps the instances of this process. A stopped instance stays as nil: events that were
// in flight for it are ignored, while one for an instance that was never started is an error.
type adapter struct {
	instances map[int]*balance.Balancer
	actions   []balance.Action // of one event; reused
	reply     []byte           // to one batch; reused
}

// run answers batches until the input ends.
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
		if err := a.answer(&batch); err != nil {
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

// answer writes the reply to a batch: the actions of its deliveries in order, and its end.
func (a *adapter) answer(batch *simproto.Batch) error {
	a.reply = a.reply[:0]
	for i := range batch.Deliveries {
		if err := a.deliver(batch, &batch.Deliveries[i]); err != nil {
			return err
		}
	}
	a.reply = simproto.AppendDone(a.reply, batch.Round)
	return nil
}

// deliver hands one delivery to its instance and appends the answer to the reply.
func (a *adapter) deliver(batch *simproto.Batch, d *simproto.Delivery) error {
	switch {
	case d.Start != nil:
		a.start(d)
		return nil
	case d.Stop:
		a.instances[d.Instance] = nil
		return nil
	}
	b, known := a.instances[d.Instance]
	if !known {
		return fmt.Errorf("batch %d: %s for instance %d, which was never started", batch.Round, d.Command, d.Instance)
	}
	if b == nil {
		return nil
	}
	a.handle(batch, d, b)
	return nil
}

// start starts an instance, or appends an error line where it can't work with its settings.
func (a *adapter) start(d *simproto.Delivery) {
	a.instances[d.Instance] = nil
	b, err := newBalancer(d.Start)
	if err != nil {
		a.reply = simproto.AppendError(a.reply, d.Instance, err.Error())
		return
	}
	a.instances[d.Instance] = b
}

// newBalancer returns a Balancer for the settings of a start, if they could be read.
func newBalancer(start *simproto.Start) (*balance.Balancer, error) {
	if start.Err != nil {
		return nil, start.Err
	}
	return balance.New(start.Seed, start.Settings)
}

// handle hands one event to an instance. A panic becomes an error line for that instance.
func (a *adapter) handle(batch *simproto.Batch, d *simproto.Delivery, b *balance.Balancer) {
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
