// Package rpcommand is the command line of rattanpaddle: one table of commands
// with their aliases, help and arguments. docs/commands.md is generated from
// it.
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
// The functions Serve, Demo, Load and Standin are filled by the main program;
// a nil function makes its command fail. The context ends when the process
// should stop. Exit codes are in one table, ExitCodes.
package rpcommand
