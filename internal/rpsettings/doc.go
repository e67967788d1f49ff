// Package rpsettings reads the settings file of rattanpaddle serve. It checks
// the whole file before the instance starts and reports all problems at once.
// Each has a file, a line, a key, a sentence about what is wrong and a sentence
// about what to write instead.
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
// Relative paths in a settings file start at its directory. Load sets the keys
// that the file lacks to their defaults and reads the files that the settings
// name. Secrets are printed as (secret).
package rpsettings
