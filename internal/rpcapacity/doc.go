// Package rpcapacity computes the costs of each instance for a size of
// deployment, from slopes that were measured on one machine, and renders
// docs/CAPACITY.md.
//
// # Usage
//
// scripts/capacity measures the slopes, writes them to docs/capacity.json and
// renders the page. A test fails if the page does not match the file:
//
//	slopes, err := rpcapacity.Load("docs/capacity.json")
//	page := rpcapacity.Page(slopes)
//
// Slopes are the costs of one event, one message or one entry. Slopes.Costs
// multiplies them by the rates and counts of a Size. Instances do not use this
// package.
package rpcapacity
