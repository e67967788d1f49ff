// Package rpaccount holds what a deployment with client accounts decides about
// them: which account a caller's key belongs to, and what an account may use.
// It is pure: it does no I/O and reads no clock.
//
// # Usage of quotas
//
// Each instance has a Meter, the planner has a Pool. The instance reports with
// its demand, and earlier if ReportDue says so; the planner answers with
// summaries:
//
//	ok, retryAfter := meter.Admit(now, account, account.Quota.Cost(prompt, output, true))
//	usages := meter.Report(now)                      // at asOf, in a demand
//	pool.Record(now, instance, process, usages)      // at the planner
//	meter.Apply(now, asOf, pool.Summarize(now, usages))
package rpaccount
