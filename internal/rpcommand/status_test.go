package rpcommand

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

var reportTime = time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC)

func withStatus(id, domain string, version uint64) rpcore.Status {
	return rpcore.Status{
		Identity: rpcore.Identity{Instance: rpcore.InstanceID(id), FailureDomain: rpcore.FailureDomain(domain)},
		At:       reportTime, Ready: true, Running: 3, Waiting: map[string]int{"urgent": 1, "background": 7},
		Instances: []rpcore.InstanceStatus{{ID: "entry-1a", FailureDomain: "d1", Live: true}, {ID: "entry-2a", FailureDomain: "d2", Live: true, Leaving: true}},
		Endpoints: []rpcore.EndpointStatus{
			{ID: "engine-1", Kind: rpcore.MemberEngine, Service: "mix", FailureDomain: "d1", InFlight: 2, Memory: 80 * rpdocument.GiB, MemoryLoaded: 16 * rpdocument.GiB, Loaded: []rpcore.ModelKey{{Service: "mix", Name: "m"}}, ReportAge: time.Second},
			{ID: "plain-1", Kind: rpcore.MemberService, Service: "mix", FailureDomain: "d2", Leaving: true, ReportAge: -1},
		},
		Models:   []rpcore.ModelStatus{{Model: rpcore.ModelKey{Service: "mix", Name: "m"}, WarmReplicas: 1, MaxReplicas: 2, Loaded: 1, Waiting: 8}, {Model: rpcore.ModelKey{Service: "mix", Name: "idle"}}},
		Refusals: map[rpverdict.Code]uint64{rpverdict.CodeQueueFull: 4},
		Spend: []rpcore.SpendStatus{
			{Service: "mix", Accelerators: 2, MaxAccelerators: 8, HoursUsed: 1.5, HoursPerDay: 120, CountedAt: reportTime},
			{Service: "new", MaxAccelerators: 4, HoursPerDay: 96},
		},
		Documents: []rpcore.DocumentInForce{{DocumentRow: rpcore.DocumentRow{Service: "mix", Version: version, AcceptedAt: reportTime}, Since: reportTime.Add(time.Second)}},
		Missing:   []rpcore.DocumentVersion{{Service: "mix", Version: 9}},
	}
}

const wantStatus = `Status at 2026-05-04T03:02:01Z. Instances that answered: 1.
Not reached: entry-2a. What it knows is not part of this report. No operators' address of entry-2a is known. Name it with --operator.

Instances: 2
  INSTANCE             FAILURE DOMAIN   STATE                IN PROGRESS   URGENT   NORMAL BACKGROUND
  entry-1a             d1               ready                          3        1        0          7
  entry-2a             d2               not reached, leaving           -        -        -          -
  URGENT, NORMAL and BACKGROUND are the requests that wait, by rank.

Requests
  in progress: 3
  waiting with rank urgent: 1
  waiting with rank normal: 0
  waiting with rank background: 7
  refused with queue_full since the start of the instances: 4

Endpoints: 2
  ENDPOINT                 KIND     SERVICE        FAILURE DOMAIN   REQUESTS   MODELS       MEMORY IN USE  REPORT  STATE
  engine-1                 engine   mix            d1                      2        1      16GiB of 80GiB      1s  in use
  plain-1                  service  mix            d2                      0        -                   -    none  leaving

Models: 2
  MODEL                            REPLICAS LOADED DECIDED AT LEAST DECIDED AT MOST  WAITING
  mix/m                                          1                1               2        8
  Models without a replica and without requests: 1.

Spend: 2
  SERVICE                  ACCELERATORS  AT MOST   HOURS OF DAY (UTC)  AT MOST  COUNTED AT
  mix                                 2        8                 1.50   120.00  2026-05-04T03:02:01Z
  new                                 0        4                 0.00    96.00  not counted

Documents: 1
  SERVICE                   VERSION  IN FORCE EVERYWHERE SINCE   ACCEPTED AT
  mix                             8  2026-05-04T03:02:02Z        2026-05-04T03:02:01Z
  Version 9 of service mix is accepted and not yet in force everywhere.
`

// Guards against a text report that leaves out parts of an instance's status.
func TestStatusText(t *testing.T) {
	g := NewWithT(t)
	survey := &rpoperator.Survey{
		Reached: []rpoperator.ReachedInstance{{Status: withStatus("entry-1a", "d1", 8)}},
		Missing: []rpoperator.MissingInstance{{Instance: "entry-2a", Err: rpoperator.NoAddressError{Instance: "entry-2a"}}},
	}
	g.Expect(mergeStatus(survey).text()).To(Equal(wantStatus))
}

// Guards against a silent engine that the report shows as in use.
func TestStatusOfSilentEngine(t *testing.T) {
	status := withStatus("entry-1a", "d1", 8)
	status.Endpoints[0].Silent = true
	r := mergeStatus(&rpoperator.Survey{Reached: []rpoperator.ReachedInstance{{Status: status}}})
	NewWithT(t).Expect(r.text()).To(MatchRegexp(`engine-1 .* silent\n`))
}

// Guards against wrong merging of the statuses of several instances: requests must
// be added up, while endpoints and spend, which every instance reports, must be
// counted once.
func TestStatusOfSeveralInstances(t *testing.T) {
	g := NewWithT(t)
	first, second := withStatus("entry-1a", "d1", 8), withStatus("entry-2a", "d2", 9)
	second.Endpoints[0].ReportAge, second.Endpoints[0].MemoryLoaded = time.Millisecond, 32*rpdocument.GiB
	second.Spend[0].Accelerators, second.Models[0].Loaded = 3, 2
	counted := reportTime.Add(time.Minute)
	second.Spend[0].HoursUsed, second.Spend[0].CountedAt = 1.25, counted
	second.At = reportTime.Add(time.Second)
	r := mergeStatus(&rpoperator.Survey{Reached: []rpoperator.ReachedInstance{{Status: first}, {Status: second}}})
	g.Expect(r.At).To(Equal(second.At))
	g.Expect(r.Running).To(Equal(6))
	g.Expect(r.Waiting).To(Equal(map[string]int{"urgent": 2, "background": 14}))
	g.Expect(r.Refusals).To(Equal(map[rpverdict.Code]uint64{rpverdict.CodeQueueFull: 8}))
	g.Expect(r.Endpoints).To(HaveLen(2))
	g.Expect(r.Endpoints[0].InFlight).To(Equal(4))
	g.Expect(r.Endpoints[0].MemoryLoaded).To(Equal(32 * rpdocument.GiB))
	g.Expect(r.Models[1].Loaded).To(Equal(2))
	g.Expect(r.Models[1].Waiting).To(Equal(16))
	g.Expect(r.Spend).To(Equal([]rpcore.SpendStatus{
		{Service: "mix", Accelerators: 3, MaxAccelerators: 8, HoursUsed: 1.25, HoursPerDay: 120, CountedAt: counted},
		first.Spend[1],
	}))
	g.Expect(r.Documents[0].Version).To(BeEquivalentTo(9))
	g.Expect(r.Documents[0].Behind).To(Equal(1))
	g.Expect(r.MissingDocuments).To(BeEmpty())
	g.Expect(r.text()).To(ContainSubstring("not at 1 of 2"))
}

// Guards against a report that shows an old version as current, and against one
// that leaves out instances that did not answer.
func TestDocumentStatus(t *testing.T) {
	g := NewWithT(t)
	down := errors.New("down")
	report := buildDocumentStatus("mix", &rpoperator.Survey{
		Reached: []rpoperator.ReachedInstance{{Status: withStatus("entry-1b", "d1", 9)}, {Status: withStatus("entry-1a", "d1", 8)}},
		Missing: []rpoperator.MissingInstance{{Address: netip.MustParseAddrPort("127.0.0.1:3"), Err: down}, {Instance: "entry-2a", Err: down}},
	})
	g.Expect(report.NotReached).To(Equal([]string{"127.0.0.1:3", "entry-2a"}))
	g.Expect(report.text()).To(Equal(`Service mix. The newest version that is known is 9.

FAILURE DOMAIN   INSTANCE               VERSION  IN FORCE SINCE           STATE
d1               all 2                   8 to 9  2026-05-04T03:02:02.000Z behind
                 entry-1a                     8  2026-05-04T03:02:02.000Z behind
                 entry-1b                     9  2026-05-04T03:02:02.000Z current

Not reached: 127.0.0.1:3, entry-2a. What they have in force is not known.
`))
}

// Guards against timeline and explain commands that drop entries of an instance,
// and against flags that have no effect.
func TestTimelineCommands(t *testing.T) {
	g := NewWithT(t)
	var operators []string
	for _, name := range []string{"entry-1a", "entry-2a"} {
		recorder := &rptimeline.Recorder{}
		recorder.Record(rpcore.Start{Stamp: rpcore.Stamp{At: reportTime}, Self: rpcore.Identity{Instance: rpcore.InstanceID(name)}}, nil)
		recorder.Record(rpcore.RequestArrived{Stamp: rpcore.Stamp{At: reportTime}, Request: rpcore.Request{ID: rpcore.RequestID("r-" + name), ModelName: "mix/m"}},
			[]rpcore.Effect{rpcore.RefuseRequest{Request: rpcore.RequestID("r-" + name), Refusal: rpverdict.Refuse(rpverdict.CodeQueueFull, "The queue is full.")}})
		server := httptest.NewServer((&rpoperator.Server{
			Timeline: recorder.Select, Status: func() any { return withStatus(name, "d1", 1) },
		}).Handler())
		t.Cleanup(server.Close)
		u, err := url.Parse(server.URL)
		g.Expect(err).NotTo(HaveOccurred())
		operators = append(operators, "--operator", u.Host)
		resp, err := http.Get(server.URL + "/operator/v1/timeline?limit=none")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		g.Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	}
	run := func(args string, more ...string) result {
		return withRun(t, &Program{}, append(strings.Fields(args), more...)...)
	}
	g.Expect(run("timeline", operators...).stdout).To(HaveSuffix("Entries: 6. Instances that answered: 2 of 2 addresses.\n"))
	g.Expect(run("timeline", operators[:2]...).stdout).To(ContainSubstring("entry-2a is live and gave no time line."))
	g.Expect(run("timeline --model mix/m --limit 1", operators...).stdout).To(ContainSubstring("Entries: 2."))
	g.Expect(strings.Count(run("timeline -o json --request r-entry-1a", operators...).stdout, `"kind"`)).To(Equal(2))
	g.Expect(run("timeline --since 1m", operators...).stdout).To(ContainSubstring("Entries: 0."))
	explained := run("explain r-entry-2a", operators...)
	g.Expect(explained.stdout).To(ContainSubstring("Verdict: not_run. The request was refused with the code queue_full."))
	for args, code := range map[string]ExitCode{
		"timeline": ExitUsage, "timeline --operator 127.0.0.1:1": ExitUnavailable, "timeline --operator 127.0.0.1:1 -o xml": ExitUsage,
		"timeline --operator 127.0.0.1:1 --since soon": ExitUsage, "timeline --operator 127.0.0.1:1 --part x": ExitUsage,
		"explain r --operator 127.0.0.1:1": ExitUnavailable, "document status mix --operator 127.0.0.1:1": ExitUnavailable,
	} {
		got := run(args)
		g.Expect(got.code).To(Equal(code), args)
		g.Expect(got.stderr).To(MatchRegexp(`What to do: .* \(exit_\w+\)\n$`))
	}
	g.Expect(run("explain r-none", operators...).code).To(Equal(ExitFailed))
}
