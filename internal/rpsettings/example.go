package rpsettings

import (
	// The example is a file so that it can be read and checked as it is.
	_ "embed"
)

//go:embed example.toml
var example string

// Example returns the text of a settings file with comments. Parse accepts it
// where the files that it names exist.
func Example() string { return example }
