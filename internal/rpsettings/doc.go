// Package rpsettings reads the settings of rattanpaddle serve. It checks all
// of them before anything starts and reports every problem at once, with file,
// line, key, what is wrong and what to write instead.
//
// # Usage
//
//	settings, problems := rpsettings.Load("entry-1.toml")
//	for _, problem := range problems {
//		fmt.Fprintln(os.Stderr, problem)
//	}
//	start.Limits = settings.CoreLimits()
//	start.Policy = settings.CorePolicy()
//
// Relative paths in a settings file are relative to its directory. Settings
// that Load accepts have all defaults filled in, and their files were read.
// Secrets print as (secret).
package rpsettings
