// Package rpcapacity works out what a size of deployment costs each instance,
// from slopes that were measured on one machine, and renders
// docs/CAPACITY.md.
//
// # Usage
//
// scripts/capacity measures the slopes into docs/capacity.json and renders the
// page. A test fails when the page and the file disagree:
//
//	slopes, err := rpcapacity.Load("docs/capacity.json")
//	page := rpcapacity.Page(slopes)
//
// Slopes are costs of one event, one message or one entry; Load multiplies
// them with the rates and counts of a Size. Nothing in this package is read by
// an instance.
package rpcapacity
