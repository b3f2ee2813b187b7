package event

// Events of commands and of the lab: numbers 3000 to 3999.
var (
	DaemonFailed = define(3000, "daemon_failed", Error, "The daemon ends with an error.", "Read the error; a process manager may start it again.")
	LinesDropped = define(3002, "log_lines_dropped", Warn,
		"Log lines were dropped since the last such line: routine ones beyond their rate, others only when nobody reads the log fast enough.", "")
	DaemonReloads = define(3003, "daemon_reloads", Info,
		"SIGHUP or a changed settings file: the settings were read again.", "")
	DaemonKeepsSettings = define(3004, "daemon_keeps_settings", Warn,
		"The settings file has changed and is of no use; those read before stay in force.", "Correct the file; the error names every fault.")
	DaemonAsked = define(3001, "daemon_asked_to_stop", Info, "The daemon got SIGTERM or SIGINT and begins its planned stop.", "")
)
