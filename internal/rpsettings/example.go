package rpsettings

import (
	// The example is a file of its own so that it can be read and checked
	// directly.
	_ "embed"
)

//go:embed example.toml
var example string

// Example returns the text of a commented settings file. Parse accepts it if
// the files that it names exist.
func Example() string { return example }
