package tracker

import "time"

// Options holds the timeouts and sizes of membership; zero values take the defaults.
type Options struct {
	// TickInterval is the interval between two calls of Machine.Tick.
	TickInterval time.Duration
	// HeartbeatInterval is the interval at which a member sends heartbeats to its watchers.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without a message after which a watcher starts to check a member.
	SilenceTimeout time.Duration
	// FirstMessageGrace is how long a daemon waits for the first message of a new member before it judges the member, as
	// their connections may still have to be opened. It applies until StartupPeriod after the daemon's own start, until the
	// daemon is synced, and always in fleets of LargeFleet members or more.
	FirstMessageGrace time.Duration
	StartupPeriod     time.Duration
	LargeFleet        int
	// ConfirmTimeout is how long a watcher waits for votes on a silent member.
	ConfirmTimeout time.Duration
	// VoteTimeout is how long a voter waits for an ack of the silent member.
	VoteTimeout time.Duration
	// SuspicionTimeout is how long a suspect can refute before it is declared dead.
	SuspicionTimeout time.Duration
	// RefutationTimeout is how long a member can refute a suspect or dead status that came from another daemon's table.
	RefutationTimeout time.Duration
	// PauseThreshold is the gap between two ticks above which the daemon counts as having been paused.
	PauseThreshold time.Duration
	// MinSyncInterval is the minimum interval between two syncs with one peer.
	MinSyncInterval time.Duration
	// ContactInterval is the interval at which an address with no reachable member is tried.
	ContactInterval time.Duration
	// InitialContactInterval is that interval until the daemon is synced.
	InitialContactInterval time.Duration
	// TombstoneRetention is how long a dead member or a removed target is remembered.
	TombstoneRetention time.Duration
	// TargetAbsence is how long a target has to be missing from the list of VMs before it is removed.
	TargetAbsence time.Duration
	// NearWatchers and FarWatchers are how many daemons inside and outside the data centre watch a member.
	NearWatchers int
	FarWatchers  int
	// SmallFleet is the maximum number of members that can watch at which everybody watches everybody. In a small fleet a few
	// simultaneous losses can take all watchers of a member, whose own loss would then be detected only after theirs.
	SmallFleet int
	// ExtraVoters is how many daemons besides its watchers are queried about a silent member.
	ExtraVoters int
	// Delegates is how many daemons of a data centre are asked to relay news there.
	Delegates int
	// MaxMessageEntries bounds the entries of one message.
	MaxMessageEntries int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		TickInterval:           100 * time.Millisecond,
		HeartbeatInterval:      400 * time.Millisecond,
		SilenceTimeout:         900 * time.Millisecond,
		FirstMessageGrace:      10 * time.Second,
		StartupPeriod:          3 * time.Second,
		LargeFleet:             16,
		ConfirmTimeout:         500 * time.Millisecond,
		VoteTimeout:            200 * time.Millisecond,
		SuspicionTimeout:       5 * time.Second,
		RefutationTimeout:      600 * time.Millisecond,
		PauseThreshold:         400 * time.Millisecond,
		MinSyncInterval:        800 * time.Millisecond,
		ContactInterval:        time.Second,
		InitialContactInterval: time.Second,
		TombstoneRetention:     24 * time.Hour,
		TargetAbsence:          30 * time.Second,
		NearWatchers:           2,
		FarWatchers:            2,
		SmallFleet:             8,
		ExtraVoters:            3,
		Delegates:              3,
		MaxMessageEntries:      64,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.TickInterval, d.TickInterval)
	setDefault(&o.HeartbeatInterval, d.HeartbeatInterval)
	setDefault(&o.SilenceTimeout, d.SilenceTimeout)
	setDefault(&o.FirstMessageGrace, d.FirstMessageGrace)
	setDefault(&o.StartupPeriod, d.StartupPeriod)
	setDefault(&o.LargeFleet, d.LargeFleet)
	setDefault(&o.ConfirmTimeout, d.ConfirmTimeout)
	setDefault(&o.VoteTimeout, d.VoteTimeout)
	setDefault(&o.SuspicionTimeout, d.SuspicionTimeout)
	setDefault(&o.RefutationTimeout, d.RefutationTimeout)
	setDefault(&o.PauseThreshold, d.PauseThreshold)
	setDefault(&o.MinSyncInterval, d.MinSyncInterval)
	setDefault(&o.ContactInterval, d.ContactInterval)
	setDefault(&o.InitialContactInterval, d.InitialContactInterval)
	setDefault(&o.TombstoneRetention, d.TombstoneRetention)
	setDefault(&o.TargetAbsence, d.TargetAbsence)
	setDefault(&o.NearWatchers, d.NearWatchers)
	setDefault(&o.FarWatchers, d.FarWatchers)
	setDefault(&o.SmallFleet, d.SmallFleet)
	setDefault(&o.ExtraVoters, d.ExtraVoters)
	setDefault(&o.Delegates, d.Delegates)
	setDefault(&o.MaxMessageEntries, d.MaxMessageEntries)
	return o
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
