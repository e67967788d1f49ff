// Command rattanpaddle is one program that runs an instance, the operators' commands
// or the embedded default deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	program := &rpcommand.Program{Stdout: os.Stdout, Stderr: os.Stderr}
	program.Load = program.RunLoad
	program.Serve = program.RunServe
	program.Gateway = program.RunGateway
	program.Demo = program.RunDemo
	program.Standin = program.RunStandin
	os.Exit(program.Run(ctx, os.Args[1:]))
}
