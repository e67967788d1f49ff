// Command probe plays the cases of the second review that can't be written as days of
// the users' bench. It starts gateways as separate processes, with the command of
// deploy/system.toml, and stand-ins of everything else in its own process, and judges
// only what callers, endpoints and the platform see.
//
// # Usage
//
//	probe [-trouble=false] -record FILE -program target/rattanpaddle CASE
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration bounds a case with all its processes.
const maxDuration = 110 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the functions that play the cases, by name.
var cases = map[string]func(context.Context, *lab) error{
	"replaced-planner": replacedPlanner,
	"late-arrival":     lateArrival,
	"no-route":         noRoute,
	"other-part":       otherPart,
	"silent-engine":    silentEngine,
}

func main() { os.Exit(run()) }

func run() int {
	trouble := flag.Bool("trouble", true, "play the disruption of the case")
	rename := flag.Bool("rename", false, "give a machine that replaces another one a name of its own")
	steady := flag.Bool("steady", false, "let no engine fall silent")
	file := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	program := flag.String("program", "target/rattanpaddle", "the program of the deploy file")
	flag.Parse()
	if flag.Arg(0) == engineCommand {
		return runEngine(flag.Arg(1))
	}
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "probe: unknown case %q\n", flag.Arg(0))
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	l, err := newLab(options{program: *program, record: *file, trouble: *trouble, rename: *rename, steady: *steady})
	if err != nil {
		fmt.Fprintf(os.Stderr, "probe: %v\n", err)
		return exitNotRun
	}
	defer l.close()
	if err := play(ctx, l); err != nil {
		l.note("the case could not run: %v", err)
		return exitNotRun
	}
	return l.verdict()
}
