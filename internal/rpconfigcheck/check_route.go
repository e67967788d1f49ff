package rpconfigcheck

import (
	"fmt"
	"net"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

// hostPrefix is what selects a route.
type hostPrefix struct{ host, prefix string }

func (c *checker) checkRoutes() {
	names, selected := map[string]int{}, map[hostPrefix]int{}
	for i := range c.file.Routes {
		route, path := &c.file.Routes[i], rpwire.IndexPath(rpwire.FieldRoutes, i)
		c.checkName(path, route.Name, names)
		c.checkSelection(route, path, selected)
		switch route.Kind {
		case rpfleet.KindIdempotent, rpfleet.KindNonIdempotent, rpfleet.KindStream:
		default:
			c.report(rpwire.FieldPath(path, rpwire.FieldKind), CodeValueInvalid, fmt.Sprintf("The kind %q does not exist.", route.Kind),
				fmt.Sprintf("Write %s, %s or %s.", rpfleet.KindIdempotent, rpfleet.KindNonIdempotent, rpfleet.KindStream))
		}
		c.checkRouteLimits(route, path)
		c.checkRouteServices(route, path)
	}
}

// checkSelection reports a route that no request can match.
func (c *checker) checkSelection(route *rpwire.FileRoute, path string, selected map[hostPrefix]int) {
	hostPath, prefixPath := rpwire.FieldPath(path, rpwire.FieldHost), rpwire.FieldPath(path, rpwire.FieldPrefix)
	switch {
	case route.Host == "":
		c.report(hostPath, CodeNeverMatches, "The host is missing, so no request matches the route.", "Write the host name that callers use.")
	case hasPort(route.Host):
		c.report(hostPath, CodeNeverMatches, "The host has a port, and the port of a request is not compared, so no request matches the route.", "Write the host name only.")
	}
	if !strings.HasPrefix(route.Prefix, "/") {
		c.report(prefixPath, CodeNeverMatches, "The prefix does not begin with a slash, so no path matches the route.", "Write a prefix that begins and ends with a slash.")
	} else if !strings.HasSuffix(route.Prefix, "/") {
		c.report(prefixPath, CodeValueInvalid, "The prefix does not end with a slash.", "Write a prefix that begins and ends with a slash.")
	}
	key := hostPrefix{strings.ToLower(route.Host), route.Prefix}
	if line, ok := selected[key]; ok {
		c.report(prefixPath, CodeNeverMatches, fmt.Sprintf("The route in line %d has the same host and prefix and gets all requests.", line), "Change the prefix, or remove one of the two routes.")
		return
	}
	selected[key] = c.file.Line(path)
}

func hasPort(host string) bool {
	_, _, err := net.SplitHostPort(host)
	return err == nil
}

func (c *checker) checkRouteLimits(route *rpwire.FileRoute, path string) {
	timeoutPath := rpwire.FieldPath(path, rpwire.FieldTimeout)
	switch {
	case route.Timeout == 0:
		c.report(timeoutPath, CodeKeyMissing, "The timeout is missing or 0.", "Write the time that a response may take.")
	case route.Timeout < route.Target:
		c.report(timeoutPath, CodeContradiction, fmt.Sprintf("The timeout of %g ms ends before the target of %g ms.", route.Timeout, route.Target),
			"Write a timeout that is not below the target.")
	}
	for _, service := range routeServices(route) {
		if known, ok := c.endpoints[service]; ok && route.MaxEndpoints > known {
			c.report(rpwire.FieldPath(path, rpwire.FieldMaxEndpoints), CodeContradiction,
				fmt.Sprintf("A request may run at %d endpoints, but service %q has %d.", route.MaxEndpoints, service, known), "Write a number that is not above that of the endpoints.")
		}
	}
}

func (c *checker) checkRouteServices(route *rpwire.FileRoute, path string) {
	if len(route.Split) == 0 {
		c.checkServiceName(rpwire.FieldPath(path, rpwire.FieldService), route.Service)
		return
	}
	split := rpwire.FieldPath(path, rpwire.FieldSplit)
	for i, part := range route.Split {
		partPath := rpwire.IndexPath(split, i)
		c.checkServiceName(rpwire.FieldPath(partPath, rpwire.FieldService), part.Service)
		if part.Weight == 0 {
			c.report(rpwire.FieldPath(partPath, rpwire.FieldWeight), CodeWeightZero, fmt.Sprintf("Service %q has the weight 0 and gets no requests.", part.Service),
				"Write a weight above 0, or remove the entry.")
		}
	}
}

func (c *checker) checkServiceName(path, name string) {
	switch {
	case name == "":
		c.report(path, CodeKeyMissing, "The service is missing.", "Write the name of a service.")
	case !c.services[name]:
		c.report(path, CodeServiceUnknown, fmt.Sprintf("Service %q does not exist in this file.", name), "Add the service, or correct its name.")
	}
}

// routeServices returns the services that a route sends requests to.
func routeServices(route *rpwire.FileRoute) []string {
	if len(route.Split) == 0 {
		return []string{route.Service}
	}
	var services []string
	for _, part := range route.Split {
		services = append(services, part.Service)
	}
	return services
}
