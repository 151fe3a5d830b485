package tracker

import "time"

// Options are the sizes and times of membership; zero values take the defaults.
type Options struct {
	// Tick is the interval at which the machine acts by itself.
	TickInterval time.Duration
	// Heartbeat is the interval at which a member tells its watchers that it lives.
	HeartbeatInterval time.Duration
	// Silence is the time without a message after which a watcher starts to doubt a member.
	SilenceTimeout time.Duration
	// Acquaint is how long a daemon does not judge a member that it has never heard, as their connections may still have
	// to be opened: for the time Start after its own start, until it has read a table, and in fleets of LargeFleet members or more.
	FirstMessageGrace time.Duration
	StartupPeriod     time.Duration
	LargeFleet        int
	// Confirm is the time in which others can say that they hear a doubted member.
	ConfirmTimeout time.Duration
	// VoteWait is the time that a voter waits for an ack of the doubted member.
	VoteTimeout time.Duration
	// Suspicion is the time that a suspect has to refute before it is dead.
	SuspicionTimeout time.Duration
	// Hold is the time that a member has to refute bad news which comes from another daemon's table.
	RefutationTimeout time.Duration
	// Pause is the gap between two ticks from which on the daemon counts as having been paused.
	PauseThreshold time.Duration
	// Sync is the least time between two comparisons of tables with one peer.
	MinSyncInterval time.Duration
	// Contact is the interval at which an absent address is tried.
	ContactInterval time.Duration
	// FirstContact is that interval until the daemon has read a table.
	InitialContactInterval time.Duration
	// Tombstone is how long a dead member is remembered.
	TombstoneRetention time.Duration
	// TargetAbsence is how long a target has to be missing from the list of VMs before it is removed.
	TargetAbsence time.Duration
	// NearWatchers and FarWatchers are how many daemons inside and outside the data centre watch a member.
	NearWatchers int
	FarWatchers  int
	// SmallFleet is the most eligible members of a fleet in which everybody watches everybody: there, few losses at once
	// take all watchers of a member, whose own loss is then seen only after theirs.
	SmallFleet int
	// Helpers is how many more daemons are asked about a doubted member.
	ExtraVoters int
	// Delegates is how many daemons of each other data centre are told news, to pass it on there.
	Delegates int
	// DeltaEntries bounds the entries of one message.
	MaxMessageEntries int
}

// DefaultOptions returns the defaults.
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
