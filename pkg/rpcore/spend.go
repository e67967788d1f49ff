package rpcore

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// spendCountInterval is the time between two counts of a service's
	// accelerator time by its home, and between two reads of all counts by each
	// instance. A reservation reads the count again, so the count that it uses
	// is at most this old. Its error is at most the number of accelerators in
	// use at once times this interval. Other decisions may lag by one interval
	// more.
	spendCountInterval = time.Minute
	spendDay           = 24 * time.Hour
)

func spendRowKey(service string) RowKey { return RowKey{Kind: RowSpend, Service: service} }

// utcDay returns the start of the UTC day of a time.
func utcDay(at time.Time) time.Time { return at.UTC().Truncate(spendDay) }

func (s *State) untilNextDay() time.Duration { return utcDay(s.now).Add(spendDay).Sub(s.now) }

// isSpendCountDue reports whether refreshSpend should run in this round. It
// spreads the instances over the interval.
func (s *State) isSpendCountDue() bool {
	const ticks = uint64(spendCountInterval / maintenanceInterval)
	return s.replicas.maintenanceRounds%ticks == xxhash.Sum64String(string(s.self.Instance))%ticks
}

// refreshSpend reads the counts of all services, and counts again for the
// services that this instance is the home of.
func (s *State) refreshSpend() {
	s.readTableKind(RowSpend, func(s *State, read TableReadDone) {
		if read.Unavailable {
			return
		}
		for i := range read.Rows {
			s.cacheRow(read.Rows[i])
		}
		for _, service := range s.replicas.deps.services(s) {
			if s.cachedHomeOf("spend/"+service) == s.self.Instance {
				s.countSpend(service)
			}
		}
	})
}

// countSpend sums up the accelerator time of a service from the rows of its
// models. Since each count starts from those rows, a count that was lost, done
// twice or done by another home leaves no error behind.
func (s *State) countSpend(service string) {
	doc := s.replicas.deps.document(s, service)
	if doc == nil || doc.Spend.Accelerators == 0 || len(doc.Models) == 0 || s.draining {
		return
	}
	usedUpBefore := s.areHoursUsedUp(service)
	s.startTransaction(&rowTransaction{
		keys:   s.countedRowKeys(service, doc),
		decide: func(s *State, rows []Row) []RowWrite { return s.decideSpend(service, rows) },
		done: func(s *State, _ transactionResult) {
			if !usedUpBefore && s.areHoursUsedUp(service) {
				s.note("replicas", "accelerator hours of the day are used up: "+service)
			}
		},
	})
}

// countedRowKeys returns the keys of the spend row and of the rows of all
// models that the document declares or the spend row names.
func (s *State) countedRowKeys(service string, doc *rpdocument.Document) []RowKey {
	keys := []RowKey{spendRowKey(service)}
	for i := range doc.Models {
		keys = append(keys, modelRowKey(ModelKey{Service: service, Name: doc.Models[i].Name}))
	}
	if row := s.cachedSpend(service); row != nil {
		for _, model := range row.Models {
			key := modelRowKey(ModelKey{Service: service, Name: model.Name})
			if !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

func (s *State) decideSpend(service string, rows []Row) []RowWrite {
	doc := s.replicas.deps.document(s, service)
	if doc == nil {
		return nil
	}
	row := rowOrEmpty(rows, spendRowKey(service))
	next := s.sumSpend(doc, row.Spend, rows)
	if next.Accelerators == 0 && (row.Spend == nil || row.Spend.Accelerators == 0) && next.Used == row.Spend.usedAt(s.now) {
		return nil
	}
	write := RowWrite{Key: row.Key, ExpectVersion: row.Version, Nonce: s.newNonce()}
	write.Spend = next
	return []RowWrite{write}
}

// sumSpend adds up the time of the models from their rows. A model that the
// document no longer declares keeps the time that was counted today.
func (s *State) sumSpend(doc *rpdocument.Document, old *SpendRow, rows []Row) *SpendRow {
	next := &SpendRow{Day: utcDay(s.now), CountedAt: s.now}
	models := make(map[string]ModelSpend)
	if old != nil && old.Day.Equal(next.Day) {
		for _, model := range old.Models {
			models[model.Name] = model
		}
	}
	for i := range doc.Models {
		model := models[doc.Models[i].Name]
		model.Name, model.Accelerators = doc.Models[i].Name, doc.Models[i].Accelerators
		models[model.Name] = model
	}
	for _, name := range sortedKeys(models) {
		model := models[name]
		row := findRow(rows, RowKey{Kind: RowModel, Service: doc.Service, Name: name})
		used := time.Duration(model.Accelerators) * s.slotTimeToday(row)
		// A clock that is behind must not reduce what was already counted.
		model.Used = max(model.Used, used)
		next.Accelerators += model.Accelerators * len(slotsOf(row))
		next.Used += model.Used
		if model.Used > 0 {
			next.Models = append(next.Models, model)
		}
	}
	return next
}

// slotTimeToday returns how long a model had slots today, summed over the
// slots.
func (s *State) slotTimeToday(row *Row) time.Duration {
	day := utcDay(s.now)
	var used time.Duration
	if row != nil && row.Model != nil && row.Model.FreedDay.Equal(day) {
		used = row.Model.Freed
	}
	slots := slotsOf(row)
	for i := range slots {
		used += slots[i].reservedTime(day, s.now)
	}
	return used
}

// reservedTime returns how long a slot has been reserved since the start of a
// day.
func (slot *Slot) reservedTime(day, now time.Time) time.Duration {
	from := slot.ReservedAt
	if from.Before(day) {
		from = day
	}
	return max(now.Sub(from), 0)
}

// carryFreedTime copies the time of released slots to the next version of a
// row, and adds the time of the slots that the write removes. The time is
// written in the same transaction as the removal, so neither can be lost
// without the other.
func (s *State) carryFreedTime(old, next *ModelRow) {
	if old == nil {
		return
	}
	day := utcDay(s.now)
	if old.FreedDay.After(day) {
		// The clock of another instance has passed midnight already.
		day = old.FreedDay
	}
	var freed time.Duration
	if old.FreedDay.Equal(day) {
		freed = old.Freed
	}
	for i := range old.Slots {
		if slotIndex(next.Slots, old.Slots[i].Nonce) < 0 {
			freed += old.Slots[i].reservedTime(day, s.now)
		}
	}
	if freed > 0 {
		next.FreedDay, next.Freed = day, freed
	}
}

// usedAt returns the accelerator time used on the day of now. It extrapolates
// the last count at the accelerators in use then. A nil row counts as no use.
func (r *SpendRow) usedAt(now time.Time) time.Duration {
	if r == nil {
		return 0
	}
	day := utcDay(now)
	from, used := r.CountedAt, time.Duration(0)
	if from.Before(day) {
		from = day
	}
	if r.Day.Equal(day) {
		used = r.Used
	}
	return used + time.Duration(r.Accelerators)*max(now.Sub(from), 0)
}

// cachedSpend returns the last known count of a service, or nil.
func (s *State) cachedSpend(service string) *SpendRow {
	if known := s.replicas.rows[spendRowKey(service)]; known != nil {
		return known.Spend
	}
	return nil
}

// dailyHoursLimit returns the accelerator hours that a service may use in a
// day. The second result reports whether this is a real limit: it is false if
// the accelerators that the service may use at once can't exceed it.
func (s *State) dailyHoursLimit(service string) (float64, bool) {
	doc := s.replicas.deps.document(s, service)
	if doc == nil || doc.Spend.Accelerators == 0 {
		return 0, false
	}
	hours := doc.Spend.AcceleratorHoursPerDay
	return hours, hours < rpdocument.HoursPerDay*float64(doc.Spend.Accelerators)
}

// areHoursUsedUp reports whether a service has used its accelerator hours of
// today, according to the last known count.
func (s *State) areHoursUsedUp(service string) bool {
	hours, bounded := s.dailyHoursLimit(service)
	return bounded && s.cachedSpend(service).usedAt(s.now).Hours() >= hours
}

// hoursForbidReplicas reports whether replicas of a model must neither be
// loaded nor kept idle, because the accelerator hours of today are used up.
// Adapters use no accelerators of their own.
func (s *State) hoursForbidReplicas(spec replicaSpec) bool {
	return !spec.isAdapter() && s.areHoursUsedUp(spec.key.Service)
}

// isLoadBlockedByHours reports whether the used-up accelerator hours prevent a
// replica of a model, or of the base model of an adapter, and none is being
// loaded.
func (s *State) isLoadBlockedByHours(spec replicaSpec) bool {
	if !s.areHoursUsedUp(spec.key.Service) {
		return false
	}
	if !spec.isAdapter() {
		_, coming := s.expectedSlotWait(spec)
		return !coming
	}
	base, ok := s.lookupReplicaSpec(spec.baseKey())
	return ok && len(s.servingEndpoints(base.key)) == 0 && s.isLoadBlockedByHours(base)
}

func (s *State) hoursRefusal(service string) rpverdict.Refusal {
	hours, _ := s.dailyHoursLimit(service)
	refusal := rpverdict.Refuse(rpverdict.CodeAcceleratorHoursUsed, fmt.Sprintf(
		"Service %s has used its %v accelerator hours of this day (UTC), so no model is loaded before the next day.", service, hours))
	refusal.RetryAfter = s.untilNextDay()
	return refusal
}

// SpendStatus compares the accelerators that a service uses with what its
// document allows.
type SpendStatus struct {
	Service string `json:"service"`
	// Accelerators counts the accelerators of all reserved and loaded replicas,
	// as far as the reporting instance knows.
	Accelerators    int `json:"accelerators"`
	MaxAccelerators int `json:"max_accelerators"`
	// HoursUsed are the accelerator hours used today (UTC).
	HoursUsed   float64 `json:"accelerator_hours_used"`
	HoursPerDay float64 `json:"accelerator_hours_per_day"`
	// CountedAt is the time of the last count that the reporting instance
	// knows. It is zero if nothing was counted.
	CountedAt time.Time `json:"counted_at"`
}

func (s *State) spendStatus() []SpendStatus {
	var status []SpendStatus
	for _, service := range s.documents.serviceNames {
		spend := s.document(service).Spend
		if spend.Accelerators == 0 {
			continue
		}
		entry := SpendStatus{
			Service: service, Accelerators: s.acceleratorsUsed(service), MaxAccelerators: spend.Accelerators,
			HoursPerDay: spend.AcceleratorHoursPerDay,
		}
		if row := s.cachedSpend(service); row != nil {
			entry.HoursUsed, entry.CountedAt = row.usedAt(s.now).Hours(), row.CountedAt
		}
		status = append(status, entry)
	}
	return status
}
