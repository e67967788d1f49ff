package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

func (h *harness) beginEra(era uint64) {
	h.apply(rpfleet.StoreEraBegan{Stamp: h.stamp(), Era: era})
}

// Guards against a quarantine that is lost with the store's last seconds, while its planner
// runs on.
func TestPlannerWritesLostQuarantineAgain(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.beginEra(1)
	h.crashOn("a", "head", "deadly")
	h.crashOn("b", "head", "deadly")
	h.advanceRenewingLease(time.Second)
	h.discardEffects()
	h.beginEra(2)
	h.advanceRenewingLease(500 * time.Millisecond)
	posted := effectsOf[rpfleet.PostQuarantine](h)
	g.Expect(posted).To(HaveLen(1))
	g.Expect(partNames(posted[0].Parts)).To(ConsistOf("deadly"))
}

// Guards against a quarantine that only instances without a planner know after a drill in
// which the planner was lost.
func TestInstancesWithoutPlannerWriteLostQuarantine(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.beginEra(1)
	h.configure(manyEngines(6)...)
	h.readPlacement(h.now, &rpfleet.Quarantine{Quarantined: []rpfleet.PartTime{{Part: "deadly", Time: time.Minute}}})
	fail := func() { h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Failed: true}) }
	h.advance(time.Second)
	fail()
	g.Expect(effectsOf[rpfleet.PostEvidence](h)).To(BeEmpty(), "the store has it")
	h.beginEra(2)
	posted := effectsOf[rpfleet.PostEvidence](h)
	g.Expect(posted).To(HaveLen(1))
	g.Expect(partNames(posted[0].Evidence.Quarantined)).To(ConsistOf("deadly"))
	for range 10 {
		h.advance(time.Second)
		fail()
	}
	g.Expect(effectsOf[rpfleet.PostEvidence](h)).To(HaveLen(1), "the write is repeated until it succeeds")
}

// Guards against an instance that starts right after the store came back from a copy, and
// takes the copy's table of evidence for all that the planner knows.
func TestStartedInstanceAwaitsLostQuarantine(t *testing.T) {
	g := NewWithT(t)
	start := func(rowEra uint64) *harness {
		h := withHarness(t)
		h.beginEra(2)
		h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: testConfig(1)})
		h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Complete: true, Entries: manyEngines(6)})
		h.readStore()
		h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: rpfleet.LeaseRow{
			Revision: rpfleet.NewRevision(2, 10), Era: rowEra, Holder: "front-2", Epoch: 1, Renewals: 1,
		}})
		return h
	}
	isUnknown := func(h *harness, id string) bool {
		h.arrivePrompt(id, "head", "deadly")
		refusal := h.refusalOf(id)
		return refusal != nil && refusal.Code == rpverdict.CodeQuarantineUnknown
	}
	h := start(1)
	g.Expect(isUnknown(h, "a")).To(BeTrue())
	h.readPlacement(h.now, &rpfleet.Quarantine{Quarantined: []rpfleet.PartTime{{Part: "deadly", Time: time.Minute}}})
	g.Expect(h.isQuarantined("b", "head", "deadly")).To(BeTrue(), "the planner tells what the store has lost")

	h = start(1)
	h.advance(1500 * time.Millisecond)
	g.Expect(isUnknown(h, "a")).To(BeFalse(), "a planner of before would have written it again")

	h = start(2)
	g.Expect(isUnknown(h, "a")).To(BeFalse(), "the lease was renewed in this era")
}

// configAt returns a configuration as it was read at a revision. Configurations differ if
// their contents do.
func configAt(version uint64, revision rpfleet.Revision, content byte) *rpfleet.Config {
	config := testConfig(version)
	config.Revision, config.Sum[0] = revision, content
	return config
}

// versionsInForce returns the versions that came into force.
func (h *harness) versionsInForce() []uint64 {
	var versions []uint64
	for _, note := range effectsOf[rpfleet.Note](h) {
		if note.Text == "a new configuration is in force" {
			versions = append(versions, note.Fields[0].Value.(uint64))
		}
	}
	return versions
}

// Guards against a configuration in force that gives way to the store's older copy, and
// against one that the operators write again under a lower or the same version and that
// never comes into force.
func TestConfigurationAfterDrill(t *testing.T) {
	type row struct {
		version uint64
		number  uint64
		content byte
	}
	for name, c := range map[string]struct {
		rows []row
		want []uint64
	}{
		"only the copy":                    {[]row{{90, 40, 1}}, []uint64{94}},
		"the same again":                   {[]row{{90, 40, 1}, {94, 45, 2}}, []uint64{94}},
		"the same at first sight":          {[]row{{94, 45, 2}}, []uint64{94}},
		"a newer one":                      {[]row{{90, 40, 1}, {97, 45, 3}}, []uint64{94, 97}},
		"a lower one":                      {[]row{{90, 40, 1}, {92, 45, 3}}, []uint64{94, 92}},
		"the copy's again":                 {[]row{{90, 40, 1}, {90, 45, 1}}, []uint64{94, 90}},
		"the version again":                {[]row{{90, 40, 1}, {94, 45, 3}}, []uint64{94, 94}},
		"the version again at first sight": {[]row{{94, 45, 3}}, []uint64{94, 94}},
		"a lower one after the same":       {[]row{{94, 45, 2}, {92, 50, 3}}, []uint64{94, 92}},
		"a late read of the copy":          {[]row{{92, 45, 3}, {97, 50, 4}, {90, 40, 1}}, []uint64{94, 97}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := withHarness(t)
			h.beginEra(1)
			h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: configAt(94, rpfleet.NewRevision(1, 50), 2)})
			h.beginEra(2)
			for _, r := range c.rows {
				h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: configAt(r.version, rpfleet.NewRevision(2, r.number), r.content)})
			}
			g.Expect(h.versionsInForce()).To(Equal(c.want))
		})
	}
}

// Guards against an instance that reads a lower version only after the operators have
// written it, and can't tell it from the copy's although the planner can.
func TestPlannerNamesLowerConfiguration(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.beginEra(1)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: configAt(94, rpfleet.NewRevision(1, 50), 2)})
	h.beginEra(2)
	lower := configAt(92, rpfleet.NewRevision(2, 45), 3)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: lower})
	g.Expect(h.versionsInForce()).To(Equal([]uint64{94}))
	h.discardEffects()
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		IsPlanner: true, ConfigVersion: 92, Store: &rpfleet.StoreState{Era: 2, ConfigRevision: lower.Revision},
	}})
	h.advance(3 * time.Second)
	g.Expect(effectsOf[rpfleet.ReadConfig](h)).To(HaveLen(1))
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: lower})
	g.Expect(h.versionsInForce()).To(Equal([]uint64{92}))
}

// Guards against an operator who can't see when an instance follows the store again.
func TestEraIsNotedWhenFollowed(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.beginEra(1)
	h.configure(manyEngines(2)...)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: configAt(94, rpfleet.NewRevision(1, 50), 2)})
	h.beginEra(2)
	h.discardEffects()
	h.advance(300 * time.Millisecond)
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Complete: true, AsOf: rpfleet.NewRevision(2, 40), Entries: manyEngines(2)})
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: configAt(90, rpfleet.NewRevision(2, 40), 1)})
	followed := func() []rpfleet.Field {
		for _, note := range effectsOf[rpfleet.Note](h) {
			if note.Text == "the list and the configuration are those of the store's new era" {
				return note.Fields
			}
		}
		return nil
	}
	g.Expect(followed()).To(BeNil(), "the configuration is the copy's")
	h.advance(200 * time.Millisecond)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: configAt(94, rpfleet.NewRevision(2, 45), 2)})
	g.Expect(followed()).To(ContainElements(rpfleet.Field{Name: "list_after", Value: 300 * time.Millisecond},
		rpfleet.Field{Name: "config_after", Value: 500 * time.Millisecond}))
}

// Guards against live endpoints that are given up because the store's copy lacks their
// entries until they write them again.
func TestEntriesMissingInTheCopyAreKept(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.beginEra(1)
	engines := manyEngines(2)
	for i := range engines {
		engines[i].Revision = rpfleet.NewRevision(1, uint64(60+i))
	}
	h.configure(engines...)
	h.discardEffects()
	h.beginEra(2)
	copied := engines[0]
	copied.Revision = rpfleet.NewRevision(2, 30)
	h.apply(rpfleet.EndpointsRead{
		Stamp: h.stamp(), AskedAt: h.now, Complete: true, AsOf: rpfleet.NewRevision(2, 40), Entries: []rpfleet.Endpoint{copied},
	})
	g.Expect(effectsOf[rpfleet.CloseIdleConnections](h)).To(BeEmpty())
	again := engines[1]
	again.Revision = rpfleet.NewRevision(2, 41)
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Entries: []rpfleet.Endpoint{again}})
	h.advance(time.Minute)
	g.Expect(effectsOf[rpfleet.CloseIdleConnections](h)).To(BeEmpty())
}

// Guards against changes of the list that an instance ignores because the planner, of
// this or an earlier version, names only numbers.
func TestPlannersListChangesAreOfItsEra(t *testing.T) {
	for name, state := range map[string]*rpfleet.StoreState{"with era": {Era: 2}, "earlier version": nil} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := withHarness(t)
			h.beginEra(2)
			engines := manyEngines(2)
			for i := range engines {
				engines[i].Revision = rpfleet.NewRevision(2, uint64(30+i))
			}
			h.configure(engines...)
			h.discardEffects()
			answer := func(change, number uint64) {
				h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
					IsPlanner: true, Epoch: 1, Store: state,
					List: rpfleet.ListChanges{Change: change, Removed: []rpfleet.RemovedEntry{{ID: engines[0].ID, Revision: rpfleet.Revision(number)}}},
				}})
			}
			answer(1, 20)
			g.Expect(effectsOf[rpfleet.CloseIdleConnections](h)).To(BeEmpty(), "the entry is newer")
			answer(2, 35)
			g.Expect(effectsOf[rpfleet.CloseIdleConnections](h)).To(HaveLen(1))
		})
	}
}

// Guards against revisions that an earlier version of the program can't compare with its
// own, and against entries of an earlier era that look newer than those of this one.
func TestListChangesNameNumbersOfTheEra(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.beginEra(1)
	old := testEndpoint("old", testService, homeDomain, "m0")
	old.Revision = rpfleet.NewRevision(1, 70)
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Entries: []rpfleet.Endpoint{old}})
	h.beginEra(2)
	joined := testEndpoint("joined", testService, homeDomain, "m0")
	joined.Revision = rpfleet.NewRevision(2, 41)
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Entries: []rpfleet.Endpoint{joined}})
	h.discardEffects()
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2"}})
	placement := effectsOf[rpfleet.AnswerDemand](h)[0].Placement
	g.Expect(placement.Store.Era).To(BeEquivalentTo(2))
	numbers := map[string]rpfleet.Revision{}
	for _, entry := range placement.List.Entries {
		numbers[string(entry.ID)] = entry.Revision
	}
	g.Expect(numbers).To(HaveKeyWithValue("joined", rpfleet.Revision(41)))
	g.Expect(numbers).NotTo(HaveKey("old"))
}

// Guards against new work for an endpoint that was leaving, or had left, when the store
// came back with its entry of before.
func TestCopyBringsBackNoLeavingEndpoint(t *testing.T) {
	for name, removed := range map[string]bool{"leaving": false, "removed": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := withHarness(t)
			h.beginEra(1)
			leaver, stayer := testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, "zone-b", "m0")
			leaver.Revision, stayer.Revision = rpfleet.NewRevision(1, 30), rpfleet.NewRevision(1, 31)
			h.configure(leaver, stayer)
			leaving := leaver
			leaving.Leaving, leaving.Revision = true, rpfleet.NewRevision(1, 50)
			h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Entries: []rpfleet.Endpoint{leaving}})
			if removed {
				h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Removed: []rpfleet.RemovedEntry{{ID: leaver.ID, Revision: rpfleet.NewRevision(1, 60)}}})
			}
			h.beginEra(2)
			leaver.Revision, stayer.Revision = rpfleet.NewRevision(2, 30), rpfleet.NewRevision(2, 31)
			h.apply(rpfleet.EndpointsRead{
				Stamp: h.stamp(), AskedAt: h.now, Complete: true, AsOf: rpfleet.NewRevision(2, 40), Entries: []rpfleet.Endpoint{leaver, stayer},
			})
			h.discardEffects()
			for _, id := range []string{"a", "b", "c"} {
				h.arriveRequest(id, "/suggest/1", "m0")
			}
			g.Expect(h.attemptsAt(leaver.ID)).To(BeEmpty())
			g.Expect(h.attemptsAt(stayer.ID)).To(HaveLen(3))
		})
	}
}

// Guards against keys that stay refused after the operators have written again what the
// store lost, and against the copy's configuration that confirms them.
func TestKeysAfterDrill(t *testing.T) {
	g := NewWithT(t)
	h := &harness{t: t, now: time.Unix(1_800_000_000, 0)}
	h.apply(rpfleet.Start{Stamp: h.stamp(), Seed: 1, Policy: strictPolicy})
	read := func(version uint64, revision rpfleet.Revision, content byte) {
		h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: configAt(version, revision, content)})
		h.apply(rpfleet.ConfigChecked{Stamp: h.stamp(), AskedAt: h.now})
	}
	h.beginEra(1)
	read(94, rpfleet.NewRevision(1, 50), 2)
	h.beginEra(2)
	h.advance(time.Second)
	read(90, rpfleet.NewRevision(2, 40), 1)
	g.Expect(h.state.ConfigAge()).To(Equal(time.Second), "the copy confirms nothing")
	read(94, rpfleet.NewRevision(2, 45), 2)
	g.Expect(h.state.ConfigAge()).To(BeZero())
}
