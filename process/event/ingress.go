package event

// Events of the ingress: numbers 4500 to 4999.
var (
	IngressStarted  = define(4500, "ingress_started", Info, "The ingress listens for callers.", "")
	IngressStopped  = define(4501, "ingress_stopped", Info, "The ingress has stopped as asked; nothing was in flight.", "")
	IngressDraining = define(4502, "ingress_draining", Info,
		"The planned stop has begun: the ingress says that it is not ready and still serves what comes.", "")
	IngressDrainCut = define(4503, "ingress_drain_cut", Warn,
		"Requests were still in flight when the planned stop had to end; they were cut.",
		"Give the process more time to stop, or look for requests that take longer than that.")
	IngressInForce = define(4510, "ingress_in_force", Info,
		"A configuration of routes came with the view and is in force here from now on.", "")
	RequestEnded = define(4600, "request_ended", Info,
		"A routed request has its final answer; status 0 means that the connection was cut. tried says what was asked of which replica, in order.", "")
	RequestRefused = define(4601, "request_refused", Info,
		"A request was answered before any replica was asked: no route, no configuration, or a faulty request.", "")
)
