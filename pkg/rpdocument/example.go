package rpdocument

import (
	// The example is a file so that it can be read and checked as it is.
	_ "embed"
)

//go:embed example.toml
var example string

// Example returns the text of a document with comments that Parse accepts.
func Example() string { return example }
