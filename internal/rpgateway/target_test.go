package rpgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// Guards against an endpoint that runs another method, path, query or body than the
// caller sent: the first part of a path that begins with two slashes became a host.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	const host = "shop.example"
	g := NewWithT(t)
	p := withPlatform(t)
	p.writeConfig(2, rpfake.Route{Name: "all", Prefix: "/", Kind: "idempotent", Service: plainService, MaxAttempts: 1, TargetMs: 100, TimeoutMs: 4000})
	// heads holds the method and host of each request.
	var heads sync.Map
	service := p.startPlain("s1")
	service.Fault = func(r *http.Request) rpfake.EndpointFault {
		heads.Store(r.Header.Get(rpfake.HeaderRequestID), [2]string{r.Method, r.Host})
		return rpfake.EndpointFault{}
	}
	gw := p.startGateway("front-1")
	for i, target := range []struct{ sent, want string }{
		{"/place/2f?n=1", ""},
		{"//place/2f?n=1", ""},
		{"//", ""},
		{"//?", ""},
		{"///place/2f", ""},
		{"//place/%2F%2f/%41;a=b?x=//y?z&%zz", ""},
		{"//user@place:80/2f", ""},
		{"//[::1]/2f", ""},
		{"/place/2f#part", ""},
		{"/place//2f/", ""},
		{"/place/../2f", ""},
		{"//../2f/./", ""},
		{"/place:1/2f", ""},
		{"/http://place/2f", ""},
		{"/pl{a}ce/\"2f\"|\xff", ""},
		{"http://" + host + "/place/2f?n=1", "/place/2f?n=1"},
		{"http://" + host + "//place/2f?n=http://x/", "//place/2f?n=http://x/"},
		// The absolute form keeps the bytes that a URL may not contain.
		{"//pl{a}ce/\"2f\"|\xff?n={1}", "http://" + host + "//pl{a}ce/\"2f\"|\xff?n={1}"},
		{"//place/2f#part", "http://" + host + "//place/2f#part"},
	} {
		for _, method := range []string{http.MethodPost, http.MethodGet, "PURGE"} {
			name := fmt.Sprintf("%s %q", method, target.sent)
			want := target.want
			if want == "" {
				want = target.sent
			}
			id := fmt.Sprintf("r%d-%s", i, method)
			g.Expect(sendRaw(t, gw, method, target.sent, host, id)).To(Equal(http.StatusOK), name)
			arrivals := service.Arrivals()
			got := arrivals[len(arrivals)-1]
			g.Expect(got.ID).To(Equal(id), name)
			g.Expect(got.Path).To(Equal(want), name)
			g.Expect(got.Body).To(Equal("bag"), name)
			head, _ := heads.Load(id)
			g.Expect(head).To(Equal([2]string{method, host}), name)
		}
	}
}

// sendRaw sends a request with a target that net/http would change, and returns the
// status of the response.
func sendRaw(t *testing.T, gw *gateway, method, target, host, id string) int {
	t.Helper()
	g := NewWithT(t)
	conn, err := net.DialTimeout("tcp", gw.callerAddress.String(), eventTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Expect(conn.SetDeadline(time.Now().Add(eventTimeout))).To(Succeed())
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 3\r\nConnection: close\r\n\r\nbag", method, target, host, rpfake.HeaderRequestID, id)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	return resp.StatusCode
}
