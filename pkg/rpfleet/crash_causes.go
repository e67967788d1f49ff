package rpfleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// partEvidence is the evidence against one part.
type partEvidence struct {
	part string
	// crashes are the times of the crashes, latest is the one added last.
	crashes []time.Time
	latest  crashID
	// depth is the position of the part in its prompts. Of several parts that are
	// always together, the last one is the most specific.
	depth int
	used  bool
}

// suffices reports whether the evidence puts the part into quarantine.
func (p *partEvidence) suffices() bool {
	if !p.used {
		return len(p.crashes) >= minCrashes
	}
	if len(p.crashes) < minCrashesAfterUse {
		return false
	}
	return slices.MaxFunc(p.crashes, time.Time.Compare).Sub(slices.MinFunc(p.crashes, time.Time.Compare)) >= minCrashSpan
}

// compare orders evidence, the strongest first: parts that were never used, then those
// with more crashes, then the more specific ones.
func (p *partEvidence) compare(other *partEvidence) int {
	if p.used != other.used {
		if other.used {
			return -1
		}
		return 1
	}
	return cmp.Or(len(other.crashes)-len(p.crashes), other.depth-p.depth, strings.Compare(p.part, other.part))
}

// explainCrashes returns the parts that explain the crashes, and the parts of the
// crashes that they don't explain.
func (q *quarantineState) explainCrashes() (found []string, watched map[string]bool) {
	left := maps.Clone(q.crashes)
	for {
		evidence := q.collectEvidence(left)
		i := slices.IndexFunc(evidence, func(p *partEvidence) bool { return p.suffices() })
		if i < 0 {
			watched = make(map[string]bool, len(evidence))
			for _, p := range evidence {
				watched[p.part] = !p.used
			}
			return found, watched
		}
		part := evidence[i].part
		found = append(found, part)
		maps.DeleteFunc(left, func(_ crashID, c *crash) bool { return c.has(part) })
	}
}

// collectEvidence returns the evidence of crashes against each part, the strongest
// first.
func (q *quarantineState) collectEvidence(crashes map[crashID]*crash) []*partEvidence {
	byPart := map[string]*partEvidence{}
	for _, id := range slices.SortedFunc(maps.Keys(crashes), crashID.compare) {
		c := crashes[id]
		for _, prompt := range c.prompts {
			for depth, part := range prompt {
				lastUse := q.lastUse(part)
				if lastUse.After(c.at) {
					continue
				}
				p := byPart[part]
				if p == nil {
					p = &partEvidence{part: part, used: !lastUse.IsZero()}
					byPart[part] = p
				}
				p.depth = max(p.depth, depth)
				if p.latest != id {
					// Several prompts of a crash may have the part.
					p.latest = id
					p.crashes = append(p.crashes, c.at)
				}
			}
		}
	}
	return slices.SortedFunc(maps.Values(byPart), (*partEvidence).compare)
}

func (c *crash) has(part string) bool {
	return slices.ContainsFunc(c.prompts, func(prompt []string) bool { return slices.Contains(prompt, part) })
}

// lastCrash returns the time of the last known crash with a part.
func (q *quarantineState) lastCrash(part string) time.Time {
	var last time.Time
	for _, c := range q.crashes {
		if c.has(part) {
			last = maxTime(last, c.at)
		}
	}
	return last
}

func (q *quarantineState) countCrashes(part string) int {
	n := 0
	for _, c := range q.crashes {
		if c.has(part) {
			n++
		}
	}
	return n
}
