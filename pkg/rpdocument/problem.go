package rpdocument

import "fmt"

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Code names the kind of problem. It is stable.
	Code string `json:"code" cbor:"code"`
	// Line counts from 1; it is 0 where the problem has no line.
	Line int `json:"line" cbor:"line"`
	// Key is the TOML key, such as models[2].memory.
	Key string `json:"key" cbor:"key"`
	// Wrong says what is wrong and Fix what to write instead, in one sentence
	// each.
	Wrong string `json:"wrong" cbor:"wrong"`
	Fix   string `json:"fix" cbor:"fix"`
}

// Error returns the problem on one line; parts that it lacks are left out.
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
