package rpoperator

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// withInstance starts a server that responds with the status that the function
// returns.
func withInstance(t *testing.T, status func() rpcore.Status) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer((&Server{Status: func() any { return status() }}).Handler())
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func statusOf(id rpcore.InstanceID, knows ...rpcore.InstanceStatus) rpcore.Status {
	return rpcore.Status{Identity: rpcore.Identity{Instance: id}, Instances: knows}
}

// Guards against omitting instances that are known only from the status of others,
// and against querying an instance twice or endlessly. Also guards against omitting
// an unreachable instance, or mistaking another instance for it.
func TestFindInstances(t *testing.T) {
	g := NewWithT(t)
	gone := netip.MustParseAddrPort("127.0.0.1:1")
	var first, second, third netip.AddrPort
	asked := 0
	first = withInstance(t, func() rpcore.Status {
		asked++
		return statusOf("a", rpcore.InstanceStatus{ID: "a", Live: true, Operators: first}, rpcore.InstanceStatus{ID: "b", Live: true, Operators: second},
			rpcore.InstanceStatus{ID: "old", Live: true}, rpcore.InstanceStatus{ID: "removed"})
	})
	second = withInstance(t, func() rpcore.Status {
		return statusOf("b", rpcore.InstanceStatus{ID: "a", Live: true, Operators: first}, rpcore.InstanceStatus{ID: "c", Live: true, Operators: third},
			rpcore.InstanceStatus{ID: "down", Operators: gone}, rpcore.InstanceStatus{ID: "moved", Live: true, Operators: first})
	})
	third = withInstance(t, func() rpcore.Status {
		return statusOf("c", rpcore.InstanceStatus{ID: "b", Live: true, Operators: second})
	})

	// A second address of a, for example behind network address translation.
	other := withInstance(t, func() rpcore.Status { return statusOf("a") })
	survey := FindInstances(t.Context(), []netip.AddrPort{first, first, other}, false)
	var reached []rpcore.InstanceID
	for i := range survey.Reached {
		reached = append(reached, survey.Reached[i].Status.Instance)
	}
	g.Expect(reached).To(Equal([]rpcore.InstanceID{"a", "b", "c"}))
	g.Expect(asked).To(Equal(1))
	g.Expect(survey.Missing).To(HaveLen(3))
	g.Expect(survey.Missing[0].Name()).To(Equal("down"))
	g.Expect(survey.Missing[0].Err).To(BeAssignableToTypeOf(&UnreachableError{}))
	g.Expect(survey.Missing[1].Err).To(Equal(OtherInstanceError{Address: first, Expected: "moved", Answer: "a"}))
	g.Expect(survey.Missing[2].Err).To(Equal(NoAddressError{Instance: "old"}))

	survey = FindInstances(t.Context(), []netip.AddrPort{first, gone}, true)
	g.Expect(survey.Reached).To(HaveLen(1))
	names := []string{survey.Missing[0].Name(), survey.Missing[1].Name(), survey.Missing[2].Name()}
	g.Expect(names).To(Equal([]string{"127.0.0.1:1", "b", "old"}))
	g.Expect(survey.Missing[1].Err).To(Equal(NotAskedError{Instance: "b"}))
	g.Expect(FindInstances(t.Context(), []netip.AddrPort{gone}, false).Err()).To(HaveOccurred())
}

// Guards against treating several instances as one if their status is empty because
// their event loops are stuck.
func TestFindInstancesWithoutStatus(t *testing.T) {
	g := NewWithT(t)
	stuck := func() rpcore.Status { return rpcore.Status{} }
	survey := FindInstances(t.Context(), []netip.AddrPort{withInstance(t, stuck), withInstance(t, stuck)}, false)
	g.Expect(survey.Reached).To(HaveLen(2))
	g.Expect(survey.Err()).NotTo(HaveOccurred())
}
