package rpdocument

import (
	"fmt"
	"strings"
)

// routeEntry is one method of a route. Its name is the method and the path
// prefix, such as "GET /orders".
type routeEntry struct {
	name       string
	repeatable bool
	rank       Rank
}

// routeEntries returns an entry for each method of each route, in the order of
// the document and by name.
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
	for _, after := range entries {
		before, ok := oldByName[after.name]
		if !ok {
			d.addChange("Route %s is new: %s, rank %s.", after.name, repeatableText(after.repeatable), after.rank)
			continue
		}
		d.diffRoute(before, after)
	}
	for _, before := range oldEntries {
		if _, ok := byName[before.name]; !ok {
			d.addChange("Route %s is removed.", before.name)
			d.addWarning("Its requests are refused as unknown_route, unless a shorter route matches.")
		}
	}
}

func (d *differ) diffRoute(before, after routeEntry) {
	subject := "Route " + after.name
	addIfChanged(d, subject, "rank %s", before.rank, after.rank)
	if before.repeatable == after.repeatable {
		return
	}
	d.addChange("%s: %s, was %s.", subject, repeatableText(after.repeatable), repeatableText(before.repeatable))
	if after.repeatable {
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

// formatCount formats a number with a noun, as in "1 replica" and "2 replicas".
func formatCount(n int, thing string) string {
	if n == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", n, strings.TrimSuffix(thing, "s"))
}
