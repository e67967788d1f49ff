package rpdocument

import (
	"fmt"
	"strings"
)

// routeEntry is a route with one of its methods.
type routeEntry struct {
	name       string
	repeatable bool
	rank       Rank
}

func routeEntries(doc *Document) (entries []routeEntry, byName map[string]routeEntry) {
	byName = map[string]routeEntry{}
	for i := range doc.Routes {
		route := &doc.Routes[i]
		for _, method := range route.Methods {
			entry := routeEntry{name: method + " " + route.PathPrefix, repeatable: route.Repeatable, rank: route.Rank}
			entries = append(entries, entry)
			byName[entry.name] = entry
		}
	}
	return entries, byName
}

func (d *differ) diffRoutes(old, doc *Document) {
	oldEntries, oldByName := routeEntries(old)
	entries, byName := routeEntries(doc)
	for _, now := range entries {
		was, ok := oldByName[now.name]
		if !ok {
			d.addChange("Route %s is new: %s, rank %s.", now.name, repeatableText(now.repeatable), now.rank)
			continue
		}
		d.diffRoute(was, now)
	}
	for _, was := range oldEntries {
		if _, ok := byName[was.name]; !ok {
			d.addChange("Route %s is removed.", was.name)
			d.addWarning("Its requests are refused as unknown_route, unless a shorter route matches.")
		}
	}
}

func (d *differ) diffRoute(was, now routeEntry) {
	subject := "Route " + now.name
	addIfChanged(d, subject, "rank %s", was.rank, now.rank)
	if was.repeatable == now.repeatable {
		return
	}
	d.addChange("%s: %s, was %s.", subject, repeatableText(now.repeatable), repeatableText(was.repeatable))
	if now.repeatable {
		d.addWarning("A request whose fate is unknown is sent again, so it may run twice.")
	} else {
		d.addWarning("Requests without the header Idempotency-Key are refused.")
	}
}

func repeatableText(repeatable bool) string {
	if repeatable {
		return "repeatable"
	}
	return "not repeatable"
}

// formatCount formats a number of things, as in "1 replica" and "2 replicas".
func formatCount(n int, thing string) string {
	if n == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", n, strings.TrimSuffix(thing, "s"))
}
