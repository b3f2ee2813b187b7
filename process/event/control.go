package event

// Events of the control daemon and the feed: numbers 1000 to 1999.
var (
	ControlStarted = define(1000, "control_started", Info, "The control member is ready.", "")
	ControlStopped = define(1001, "control_stopped", Info, "The control member has stopped as asked.", "")

	FeedDisconnected = define(1100, "feed_disconnected", Info,
		"The connection to a control member ended; the client tries the leader it was told of or the next address.",
		"If it repeats on one daemon, check the path to the control members and whether they have a leader.")
	FeedRefused = define(1101, "feed_refused", Warn,
		"A connection to the feed was refused.",
		"Raise the limit on subscribers if the daemons are all wanted.")
	FeedEnded = define(1102, "feed_ended", Info,
		"A subscription ended: the daemon went away, was too slow, or sent bytes that are none of the protocol's.",
		"If one daemon's subscription keeps ending, check the path to it and its version.")
)
