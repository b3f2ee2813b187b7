package event

// Events of the control daemon: numbers 1000 to 1999.
var (
	ControlStarted = define(1000, "control_started", Info, "The control member is ready.", "")
	ControlStopped = define(1001, "control_stopped", Info, "The control member has stopped as asked.", "")
)
