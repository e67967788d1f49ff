package rpconfigcheck

import (
	"fmt"
	"slices"
	"strings"

	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

// Group is the effect of a change on callers.
type Group string

// The groups, in the order in which Diff returns them.
const (
	// GroupRoutes are changes of which requests are served, where, and in what time.
	GroupRoutes Group = "routes"
	// GroupAccounts are new, removed and changed accounts, new keys and raised quotas.
	GroupAccounts Group = "accounts"
	// GroupLoweredQuotas are quotas that refuse more than before.
	GroupLoweredQuotas Group = "lowered_quotas"
	// GroupRemovedKeys are keys whose requests are refused.
	GroupRemovedKeys Group = "removed_keys"
	// GroupServices are changes of services and models.
	GroupServices Group = "services"
)

// Groups lists the groups.
var Groups = []Group{GroupRoutes, GroupAccounts, GroupLoweredQuotas, GroupRemovedKeys, GroupServices}

// Change is one difference between two configurations.
type Change struct {
	Group Group `json:"group"`
	// Text is one sentence.
	Text string `json:"text"`
}

// differ collects the changes from one configuration to another.
type differ struct{ changes []Change }

// Diff returns what the new configuration changes for callers, by group.
func Diff(old, file *rpwire.ConfigFile) []Change {
	d := &differ{}
	d.diffRoutes(old, file)
	d.diffLimits(&old.Limits, &file.Limits)
	d.diffAccounts(old, file)
	d.diffKeys(old, file)
	d.diffServices(old, file)
	slices.SortStableFunc(d.changes, func(a, b Change) int { return slices.Index(Groups, a.Group) - slices.Index(Groups, b.Group) })
	return d.changes
}

func (d *differ) add(group Group, format string, args ...any) {
	d.changes = append(d.changes, Change{Group: group, Text: fmt.Sprintf(format, args...)})
}

// pairs calls visit for each name: in the order of the new list, then of the removed
// ones. A missing entry is nil. Of entries with the same name, the first counts.
func pairs[E any](old, now []E, name func(*E) string, visit func(name string, old, now *E)) {
	find := func(list []E) map[string]*E {
		found := make(map[string]*E, len(list))
		for i := range list {
			if _, ok := found[name(&list[i])]; !ok {
				found[name(&list[i])] = &list[i]
			}
		}
		return found
	}
	before, after := find(old), find(now)
	for i := range now {
		if id := name(&now[i]); after[id] == &now[i] {
			visit(id, before[id], &now[i])
		}
	}
	for i := range old {
		if id := name(&old[i]); after[id] == nil && before[id] == &old[i] {
			visit(id, &old[i], nil)
		}
	}
}

func (d *differ) diffRoutes(old, file *rpwire.ConfigFile) {
	pairs(old.Routes, file.Routes, func(r *rpwire.FileRoute) string { return r.Name }, func(name string, old, now *rpwire.FileRoute) {
		switch {
		case old == nil:
			d.add(GroupRoutes, "Route %q is new: %s%s, kind %s, service %s.", name, now.Host, now.Prefix, now.Kind, servicesText(now))
		case now == nil:
			d.add(GroupRoutes, "Route %q is removed. Requests for %s%s match another route or get 404.", name, old.Host, old.Prefix)
		default:
			d.diffRoute(name, old, now)
		}
	})
}

// diffLimits compares what callers may send on all routes.
func (d *differ) diffLimits(old, now *rpwire.FileCallerLimit) {
	for _, limit := range []struct {
		what     string
		old, now any
	}{
		{"The limit of the header in bytes", old.HeaderBytes, now.HeaderBytes},
		{"The limit of the body in bytes", old.BodyBytes, now.BodyBytes},
		{"The time for the header in ms", old.HeaderTimeout, now.HeaderTimeout},
		{"The time of an idle connection in ms", old.IdleTimeout, now.IdleTimeout},
	} {
		if limit.old != limit.now {
			d.add(GroupRoutes, "%s is %v, was %v.", limit.what, limit.now, limit.old)
		}
	}
}

func (d *differ) diffRoute(name string, old, now *rpwire.FileRoute) {
	for _, field := range []struct {
		what     string
		old, now any
	}{
		{"the host and prefix", old.Host + old.Prefix, now.Host + now.Prefix},
		{"the kind", old.Kind, now.Kind},
		{"the service", servicesText(old), servicesText(now)},
		{"the rank", old.Rank, now.Rank},
		{"the timeout in ms", old.Timeout, now.Timeout},
		{"the target in ms", old.Target, now.Target},
		{"the target between events in ms", old.EventGap, now.EventGap},
		{"the number of endpoints for a request", max(1, old.MaxEndpoints), max(1, now.MaxEndpoints)},
	} {
		if field.old != field.now {
			d.add(GroupRoutes, "Route %q: %s is %v, was %v.", name, field.what, field.now, field.old)
		}
	}
	if old.Resumable != now.Resumable {
		d.add(GroupRoutes, "Route %q: %s.", name, choose(now.Resumable, "streams can be resumed", "streams can't be resumed any more"))
	}
	if old.Anonymous != now.Anonymous {
		d.add(GroupRoutes, "Route %q: %s.", name, choose(now.Anonymous, "requests need no key any more", "requests without a known key get 401"))
	}
}

func choose(first bool, a, b string) string {
	if first {
		return a
	}
	return b
}

// servicesText names the services of a route with their weights.
func servicesText(route *rpwire.FileRoute) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	parts := make([]string, len(route.Split))
	for i, part := range route.Split {
		parts[i] = fmt.Sprintf("%s with weight %g", part.Service, part.Weight)
	}
	return strings.Join(parts, ", ")
}

func (d *differ) diffServices(old, file *rpwire.ConfigFile) {
	pairs(old.Services, file.Services, func(s *rpwire.FileService) string { return s.Name }, func(name string, old, now *rpwire.FileService) {
		switch {
		case old == nil:
			d.add(GroupServices, "Service %q is new.", name)
		case now == nil:
			d.add(GroupServices, "Service %q is removed.", name)
		}
		pairs(models(old), models(now), func(m *rpwire.FileModel) string { return m.Name }, func(model string, before, after *rpwire.FileModel) {
			switch {
			case before == nil:
				d.add(GroupServices, "Service %q: model %q is new.", name, model)
			case after == nil:
				d.add(GroupServices, "Service %q: model %q is removed. Its requests are refused.", name, model)
			case *before != *after:
				d.add(GroupServices, "Service %q: model %q has other sizes, load times or adapters.", name, model)
			}
		})
	})
}

// models returns the models of a service, which may be nil.
func models(service *rpwire.FileService) []rpwire.FileModel {
	if service == nil || service.Engine == nil {
		return nil
	}
	return service.Engine.Models
}
