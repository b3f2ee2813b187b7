package event

// Events of the proxy daemon: numbers 2000 to 2999.
var (
	ProxyStarted     = define(2000, "proxy_started", Info, "The proxy accepts callers.", "")
	ProxyStopped     = define(2001, "proxy_stopped", Info, "The proxy has finished every request in flight and stopped.", "")
	ProxyDraining    = define(2002, "proxy_draining", Info, "The proxy was asked to stop and finishes what is in flight.", "")
	ProxyDrainCut    = define(2003, "proxy_drain_cut", Warn, "The drain limit passed with requests in flight; they were cut.", "Raise the drain limit or leave it unset.")
	ProxyServerLog   = define(2004, "proxy_server_log", Warn, "The HTTP server library logged a fault.", "Read the message.")
	ProxyClaimFailed = define(2010, "proxy_claim_failed", Warn, "A marked request could not be claimed and was refused.", "Check that the control group has a quorum.")
	ProxyOutcomeLost = define(2011, "proxy_outcome_lost", Error, "The outcome of a claimed run could not be recorded; its key stays unknown until its retention ends.", "Check that the control group has a quorum.")
	ProxyRunBroken   = define(2013, "proxy_run_broken", Warn,
		"An engine closed or reset its connection while it was at work on a request, as one that ends does. fingerprint is the same for each request with that path, tenant and body; engine is the engine with its incarnation.",
		"Count the engines by fingerprint: one that stands for several of them and is served nowhere ends them.")
	ProxyRequestHeld = define(2014, "proxy_request_held", Info,
		"A request went to no engine, or to no further one, since engines end under it. rest_ms is for how long yet. by says what this rests on: the record (held, settling or a trial elsewhere), a member's report while no leader commits (member_report), or what this process knows while it has no leader (cut_off); own_crashes: enough ended while this process was at work on it.",
		"Look the fingerprint up: landingtrail get quarantine FINGERPRINT. Release it once the request or the engines are mended.")
	ProxyForeignAnswer = define(2012, "proxy_answer_foreign", Warn, "An answer of a back end names another request than the one that waited for it, or none. It was not used.", "One now and then is the back end's fault: it sent an answer too many. Many from one address: take it out of service.")
	ProxyViewLapsed    = define(2020, "proxy_view_lapsed", Warn, "The control group has not confirmed the view for its lease; work goes on or is refused by the settings for control loss.", "Check the path to the control members and whether they have a leader.")
	ProxyViewConfirmed = define(2021, "proxy_view_confirmed", Info, "The control group confirms the view, for the first time or again.", "")
)
