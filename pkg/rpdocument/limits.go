package rpdocument

import "time"

// Format is the version of the document format.
const Format = 1

// Bounds of a document. Parse refuses a document that exceeds them.
const (
	// MaxBodyBytes is the maximum size of the text of a document.
	MaxBodyBytes = 64 << 10

	MaxModels   = 1000
	MaxAdapters = 1300
	MaxRoutes   = 200
	// MaxCredentials is the maximum number of editors, and also of callers.
	MaxCredentials = 1000

	// MaxNameLength is the maximum length of names and versions, in characters.
	MaxNameLength = 63
	// MaxCheckpointLength and MaxPathLength are in bytes.
	MaxCheckpointLength = 512
	MaxPathLength       = 256

	// MaxMemory limits the accelerator memory of one replica or adapter.
	MaxMemory = 64 << 10 * GiB
	// MaxAccelerators limits the accelerators of a service, and also of one
	// replica.
	MaxAccelerators = 100_000
	// MaxReplicas limits the replicas of one model.
	MaxReplicas = 100_000
	// MaxAcceleratorHours limits accelerator_hours_per_day.
	MaxAcceleratorHours = 24.0 * MaxAccelerators

	MinTarget   = Duration(time.Millisecond)
	MaxTarget   = Duration(time.Hour)
	MinDeadline = Duration(10 * time.Millisecond)
	MaxDeadline = Duration(24 * time.Hour)

	MinWorth      = 0.001
	MaxWorth      = 1_000_000.0
	MaxQueueLimit = 100_000
)

// Defaults of optional keys.
const (
	DefaultUrgentTarget       = Duration(500 * time.Millisecond)
	DefaultUrgentDeadline     = Duration(10 * time.Second)
	DefaultUrgentWorth        = 100.0
	DefaultNormalTarget       = Duration(2 * time.Second)
	DefaultNormalDeadline     = Duration(60 * time.Second)
	DefaultNormalWorth        = 10.0
	DefaultBackgroundTarget   = Duration(30 * time.Second)
	DefaultBackgroundDeadline = Duration(10 * time.Minute)
	DefaultBackgroundWorth    = 1.0
	// DefaultFloor and DefaultQueueLimit apply to every rank.
	DefaultFloor      = 0.1
	DefaultQueueLimit = 1000
	// DefaultAccelerators is the number of accelerators that one replica uses.
	DefaultAccelerators = 1
	DefaultRank         = RankNormal
	// HoursPerDay times spend.accelerators is the default of
	// accelerator_hours_per_day: all accelerators may be in use all day.
	HoursPerDay = 24.0
)

// DefaultRanks returns the policies that apply if the document has no table
// ranks.
func DefaultRanks() RankSet {
	return RankSet{
		Urgent: RankPolicy{
			Target: DefaultUrgentTarget, Deadline: DefaultUrgentDeadline,
			Worth: DefaultUrgentWorth, Floor: DefaultFloor, QueueLimit: DefaultQueueLimit,
		},
		Normal: RankPolicy{
			Target: DefaultNormalTarget, Deadline: DefaultNormalDeadline,
			Worth: DefaultNormalWorth, Floor: DefaultFloor, QueueLimit: DefaultQueueLimit,
		},
		Background: RankPolicy{
			Target: DefaultBackgroundTarget, Deadline: DefaultBackgroundDeadline,
			Worth: DefaultBackgroundWorth, Floor: DefaultFloor, QueueLimit: DefaultQueueLimit,
		},
	}
}
