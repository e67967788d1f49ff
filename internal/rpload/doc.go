// Package rpload is an open-loop load generator for the callers' interface. It
// starts requests at the times of a schedule, whether or not earlier requests
// were answered, and reports latencies by rank and phase.
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
// An error says that the configuration is wrong and that nothing was sent.
// When the context ends, no further request starts, requests in progress get
// Config.Wait to finish, and the report covers what was measured.
//
// # Schedule
//
// The schedule depends only on the configuration and its seed. Two runs with
// the same Report.ScheduleHash sent the same requests at the same offsets.
//
// # Latencies
//
// First token, whole answer and refusal are measured from the scheduled
// arrival, not from the time of sending. A generator or a server that stalls
// therefore raises the latency of every request that was due meanwhile.
// Deadlines count from the time of sending, because the server can't know the
// schedule. Report.StartLag shows how far the generator itself was behind.
//
// # Counts
//
// Every planned request is in exactly one of these: started, not started
// (Config.InProgressLimit was reached) or cancelled (the run was interrupted).
// Every started request has exactly one result, a code with a verdict.
package rpload
