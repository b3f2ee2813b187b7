package event

// Events of the relay daemon: numbers 4000 to 4499.
var (
	RelayStarted  = define(4000, "relay_started", Info, "The relay takes daemons once it has a view lease of its own.", "")
	RelayStopped  = define(4001, "relay_stopped", Info, "The relay has sent its daemons on and stopped.", "")
	RelayDraining = define(4002, "relay_draining", Info, "The relay was asked to stop and sends its daemons on to other addresses.", "")
)
