// Package rpload implements an open-loop load generator for the callers'
// interface. It starts requests at scheduled times, even if earlier requests have
// not been answered, and reports latencies by rank and phase.
//
// # Usage
//
//	report, err := rpload.Run(ctx, rpload.Config{
//		Targets:  []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:8080")},
//		Kinds:    []rpload.RequestKind{{Model: "mixadvies/bag-small"}, {Model: "mixadvies/bag-large"}},
//		Rate:     200, // requests/s
//		Duration: time.Minute,
//		Wakes:    []rpload.Wake{{Count: 1, Within: time.Second, Start: 30 * time.Second}},
//		Seed:     1,
//	})
//	fmt.Print(report.Text())
//
// Run returns an error only if the configuration is invalid; no request has been
// sent then. When the context ends, no further requests start, requests in
// progress have Config.Wait to finish, and the report covers the interrupted run.
//
// # Schedule
//
// The schedule depends only on the configuration, which includes the seed. Two runs
// with the same Report.ScheduleHash have the same requests scheduled at the same
// times since their start.
//
// # Latencies
//
// The latencies of first tokens, whole answers and refusals are measured from the
// scheduled arrival of a request, not from the time at which it was sent. This
// avoids coordinated omission: if the generator or a server stalls, the latency of
// every request that was due meanwhile rises. Deadlines count from the time at
// which the request was sent, because the server does not know the schedule.
// Report.StartLag shows how far the generator itself was behind its schedule.
//
// # Counts
//
// Every planned request is counted exactly once: as started, as not started
// (Config.InProgressLimit was reached) or as cancelled (the run was interrupted).
// Every started request has exactly one result, which is a code and a verdict.
package rpload
