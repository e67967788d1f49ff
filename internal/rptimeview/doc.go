// Package rptimeview gathers the time lines of several instances, merges them
// in causal order and shows them.
//
// # Usage
//
//	view := rptimeview.Gather(ctx, rpoperator.FindInstances(ctx, addresses, false), query)
//	err := view.Write(os.Stdout, rptimeview.FormatText)
//	explanation := rptimeview.Explain(view, "r1")
//
// The order is that of the clocks of rptimeline, then that of the instances by
// name. What is missing is part of the view: each remark names an instance and
// says what is not shown.
package rptimeview
