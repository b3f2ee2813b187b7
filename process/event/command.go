package event

// Events of commands and of the lab: numbers 3000 to 3999.
var (
	DaemonFailed = define(3000, "daemon_failed", Error, "The daemon ends with an error.", "Read the error; a process manager may start it again.")
	DaemonAsked  = define(3001, "daemon_asked_to_stop", Info, "The daemon got SIGTERM or SIGINT and begins its planned stop.", "")
)
