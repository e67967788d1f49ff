package rpdocument

import "time"

// Format is the version of the document format.
const Format = 1

// Bounds of a document. Parse refuses a document outside of them.
const (
	// MaxBodyBytes bounds the text of a document, in bytes.
	MaxBodyBytes = 64 << 10

	MaxModels   = 1000
	MaxAdapters = 1300
	MaxRoutes   = 200
	// MaxCredentials bounds editors and callers, each.
	MaxCredentials = 1000

	// MaxNameLength bounds names and versions, in characters.
	MaxNameLength = 63
	// MaxCheckpointLength and MaxPathLength are in bytes.
	MaxCheckpointLength = 512
	MaxPathLength       = 256

	// MaxMemory bounds the accelerator memory of one replica or adapter.
	MaxMemory = 64 << 10 * GiB
	// MaxAccelerators bounds the accelerators of a service and of a replica.
	MaxAccelerators = 100_000
	// MaxReplicas bounds the replicas of one model.
	MaxReplicas = 100_000
	// MaxAcceleratorHours bounds accelerator_hours_per_day.
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
	// DefaultFloor is the floor of each rank.
	DefaultFloor      = 0.1
	DefaultQueueLimit = 1000
	// DefaultAccelerators is the number of accelerators of one replica.
	DefaultAccelerators = 1
	DefaultRank         = RankNormal
	// HoursPerDay times the accelerators is the default of
	// accelerator_hours_per_day, which bounds nothing further.
	HoursPerDay = 24.0
)

// DefaultRanks returns the policies of a document that states none.
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
