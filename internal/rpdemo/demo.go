package rpdemo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
)

// Demo runs a deployment in this process and checks its behavior.
type Demo struct {
	// Deployment defaults to Snoepschep if its name is empty.
	Deployment Deployment
	// Out receives progress messages. It may be nil.
	Out io.Writer
	Log rplog.Log
	// Keep continues to serve after the checks until the context ends.
	Keep bool
}

// readyTimeout limits how long a check waits for the instances to become ready,
// such as to know each other. It is not a target for the system.
const readyTimeout = 20 * time.Second

// Run starts the deployment, runs the checks and stops everything. A failed check
// is not an error; see Report.Passed.
func (d Demo) Run(ctx context.Context) (Report, error) {
	begin := time.Now()
	if d.Deployment.Name == "" {
		d.Deployment = Snoepschep
	}
	if d.Out == nil {
		d.Out = io.Discard
	}
	c := &cluster{deployment: d.Deployment, log: d.Log, network: freeNetwork()}
	standins, stopStandins := context.WithCancel(context.WithoutCancel(ctx))
	defer c.wg.Wait()
	defer stopStandins()
	_, _ = fmt.Fprintf(d.Out, "starting %s on 127.%d.0.0/16\n", d.Deployment.Name, c.network)
	defer c.stopInstances()
	if err := c.start(standins); err != nil {
		return Report{}, err
	}
	report := d.newReport(c)
	for _, check := range checks {
		if ctx.Err() != nil {
			return report, trace.Wrap(ctx.Err(), "the demo was interrupted")
		}
		result := check(ctx, c)
		result.write(d.Out)
		report.Checks = append(report.Checks, result)
	}
	report.DurationSeconds = time.Since(begin).Seconds()
	if d.Keep {
		_, _ = fmt.Fprintf(d.Out, "serving callers at %s, operators at %s; stop with Ctrl-C\n",
			c.instances[0].callers, c.instances[0].operators)
		<-ctx.Done()
	}
	return report, nil
}

// freeNetwork returns the second byte of the loopback addresses of a run. It picks
// an unused one at random, so that several runs can share a machine.
func freeNetwork() byte {
	for {
		c := cluster{network: byte(1 + rand.IntN(250))}
		listener, err := net.Listen("tcp", c.platformAddress(1).String())
		if err == nil {
			_ = listener.Close()
			return c.network
		}
	}
}

func (d Demo) newReport(c *cluster) Report {
	report := Report{
		Deployment: d.Deployment.Name,
		Instances:  len(c.instances),
		Engines:    len(c.engines),
	}
	for _, service := range d.Deployment.Services {
		report.Models += service.Models
		report.Adapters += service.Adapters
	}
	return report
}

// eventually repeats a check until it succeeds. After the timeout it returns the
// last error.
func eventually(ctx context.Context, timeout time.Duration, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-ticker.C:
		}
	}
}
