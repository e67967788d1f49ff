package rpdocument

import "fmt"

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Code identifies the kind of problem. Codes don't change between versions.
	Code string `json:"code" cbor:"code"`
	// Line counts from 1. It is 0 if the problem has no line.
	Line int `json:"line" cbor:"line"`
	// Key is the TOML key, such as models[2].memory. It is empty if the problem
	// has no key.
	Key string `json:"key" cbor:"key"`
	// Wrong states in one sentence what is wrong, and Fix what to write instead.
	Wrong string `json:"wrong" cbor:"wrong"`
	Fix   string `json:"fix" cbor:"fix"`
}

// Error returns the problem on one line, such as
// "line 1: format: The value 3 is out of range. Write 1. (out_of_range)". It
// leaves out a line, key or code that the problem does not have.
func (p Problem) Error() string {
	text := p.Wrong + " " + p.Fix
	if p.Key != "" {
		text = p.Key + ": " + text
	}
	if p.Line > 0 {
		text = fmt.Sprintf("line %d: %s", p.Line, text)
	}
	if p.Code != "" {
		text += " (" + p.Code + ")"
	}
	return text
}
