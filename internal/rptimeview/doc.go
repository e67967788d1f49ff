// Package rptimeview fetches the time lines of several instances, merges them in
// causal order and writes them as text, JSON, a Chrome trace or an HTML page.
//
// # Usage
//
//	view := rptimeview.Gather(ctx, rpoperator.FindInstances(ctx, addresses, false), query)
//	err := view.Write(os.Stdout, rptimeview.FormatText)
//	explanation := rptimeview.Explain(view, "r1")
//
// Entries are ordered by their timestamps, and entries with equal timestamps by
// the names of their instances. A view also lists what it lacks: each remark
// names an instance or address and says which entries are not shown.
package rptimeview
