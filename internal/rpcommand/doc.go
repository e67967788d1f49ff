// Package rpcommand implements the command line of rattanpaddle. One table holds
// all commands with their aliases, help texts and arguments; docs/commands.md is
// generated from it.
//
// # Usage
//
//	program := &rpcommand.Program{
//		Stdout: os.Stdout,
//		Stderr: os.Stderr,
//		Serve:  func(ctx context.Context, args rpcommand.ServeArgs) error { … },
//	}
//	os.Exit(program.Run(ctx, os.Args[1:]))
//
// The main program sets the functions Serve, Gateway, Demo, Load and Standin. A
// command whose function is nil fails. Cancel the context to stop the program.
// ExitCodes lists all exit codes.
package rpcommand
