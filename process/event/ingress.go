package event

// Events of the ingress: numbers 4500 to 4999.
var (
	IngressStarted  = define(4500, "ingress_started", Info, "The ingress listens for callers.", "")
	IngressStopped  = define(4501, "ingress_stopped", Info, "The ingress has stopped as asked; nothing was in flight.", "")
	IngressDraining = define(4502, "ingress_draining", Info,
		"The planned stop has begun: the ingress says that it is not ready and still serves what comes.", "")
	IngressDrainCut = define(4503, "ingress_drain_cut", Warn,
		"Requests were still in flight when the planned stop had to end; streams were cut, the others given an answer of the ingress.",
		"Give the process more time to stop, or look for requests that take longer than that.")
	IngressInForce = define(4510, "ingress_in_force", Info,
		"A configuration of routes came with the view and is in force here from now on.", "")
	RequestServed = defineRoutine(4600, "request_served",
		"A routed request was answered well. tried says what was asked of which replica, in order; fingerprint what it is, while replicas are on record as ended.")
	RequestSent = defineRoutine(4603, "request_sent",
		"A routed request is sent to a replica, to be read there (stage read) or to run. It shows where a request was when its proxy ended without another line. software is the version that the replica runs, after the last event that the caller has of the stream that goes on, and resumes the call that the caller says began it.")
	RequestWaits = defineRoutine(4604, "request_waits",
		"A routed request is sent nowhere yet: parts of its prompt are being read for another one, or no replica has KV memory for it, and it is placed again after wait_ms.")
	RequestFailed = define(4602, "request_failed", Info,
		"A routed request was refused or failed; status 0 means that the connection was cut, 499 that the caller had gone. tried says what was asked of which replica, in order, and what came of it.",
		"Follow the request by landingtrail story.")
	ForeignAnswer = define(4605, "answer_foreign", Warn,
		"A replica's answer names another request than the one that waited for an answer on that connection, or none. stage says what was asked, reused whether the connection had served other requests, answered which request the answer names.",
		"One now and then is the replica's fault: it sent an answer too many. Many from one replica: take it out of service.")
	RunBroken = define(4606, "run_broken", Warn,
		"A replica closed or reset its connection while it was at work on a request, as one that ends does. fingerprint is the same for each request with that method, host, path, caller and body; events is how many had come of this run; alone says that nothing else was in flight there and that nobody listens there any more, listens that somebody does, leaving that the replica was to end anyway. parts names the parts of its prompt but the last, model and tokens its model and the size of its prompt, software the replica's version, length how its answer's end is marked: known, chunked, or close, where the connection's end is that of the answer. A replica's name that ends in #successor stands for processes that were started at its address after the listed one had ended, and which the list did not show yet.",
		"Count the replicas by fingerprint and by part: one that stands for several of them and is served nowhere ends them.")
	RequestHeld = define(4607, "request_held", Info,
		"A request went to no replica, or to no further one, since replicas end under it. rest_ms is for how long yet. by says what this rests on: the record (held, settling or a trial elsewhere), a member's report while no leader commits (member_report), or what this process knows while it has no leader (cut_off); part, part_trial and part_cut_off say the same of a part of the prompt (parts).",
		"Look the fingerprint up: landingtrail get quarantine FINGERPRINT. Release it once the request or the replicas are mended.")
	ReplicaAsks = define(4608, "replica_asks", Info,
		"A replica's answer asks this process to send it nothing for retry_after_ms, or nothing new any more since it leaves. stage says what was asked, status how it was answered.",
		"Many from replicas that are not replaced: they have too much to do, or are faulty.")
	SendWithheld = define(4609, "send_withheld", Info,
		"A request was not sent to the replica that had been chosen for it, to be read there or to run: it has asked for a pause meanwhile (pause_ms is left), leaves, or has a limit that leaves no room. The request goes elsewhere.", "")
	ReplicaLives = define(4610, "replica_lives", Info,
		"A replica that seemed to have ended has answered, on a connection that has been open for open_ms: the ends since then that were told of it are taken back.", "")
	EndsUnrecorded = define(4612, "ends_unrecorded", Info,
		"A member has told of replicas that ended under requests (ends) since no leader can put them on record. This proxy judges by them until one can.",
		"If it goes on, look why no leader commits: landingtrail status, and the members' disks.")
	FieldUnknown = define(4613, "field_unknown", Warn,
		"A replica's answer has a field that this program does not know. Each name is logged once; unknown_fields_total counts the answers.",
		"Look the field up on the platform's pages: replicas may ask for something that nothing here keeps to.")
	ReplicaLimited = define(4614, "replica_limited", Info,
		"A replica has begun to state a limit on the requests a second of all proxies together (limited, per_second), or has ended it. request is the one whose answer stated it; announced says that a member of the control group announced it. Between begin and end each request for the replica needs a grant.",
		"landingtrail_ingress_limit_grants_total counts the requests that were granted and refused.")
	LimitRefused = define(4615, "limit_refused", Info,
		"A request was not granted for a replica with a limit (per_second), which is asked for no other one for wait_ms. alone says that no member answered, and this proxy decided by its own share. The request goes elsewhere.", "")
	RetryCharged = define(4616, "retry_charged", Info,
		"A send of a request beyond its first was charged to the retry budget, or was not allowed by it (granted). charge says for what: run, prefill, or refused_prefill, a request's first prefill at replica, whose charge had been held for held_ms since its send. loan is the number of a retry that the leader lent because this proxy's own part of the budget covered none. left is how many retries the budget still allows, requests the number of requests of the service within the budget's window, uptime_ms the age of this process, which knows neither requests nor retries of an earlier one.",
		"Many that are not granted: replicas fail more often than the budget allows retries. Look why they fail.")
	ReplicasUnreachable = define(4617, "replicas_unreachable", Warn,
		"This proxy reaches no replica: after a failure no connection to any of the replicas that it tried could be opened (tried), for uncertain_ms; silent_ms is how long nothing was received from any. It is not ready, refuses requests at once, and blames no replica.",
		"If other proxies serve, look at this machine's links to the replicas; if none does, at the replicas.")
	ReplicasReachable = define(4618, "replicas_reachable", Info,
		"This proxy reaches a replica again, after_ms after it had lost all of them, and is ready again.", "")
	StreamTakenUp = define(4619, "stream_taken_up", Info,
		"A caller takes up a stream after an event that it has (after), which it says the call resumes began. software is the version that began it, known_by who knew it: this proxy, a member, or nobody, in which case the caller is refused at once (unknown_stream).",
		"Many that nobody knows: look whether the proxies that began them and the leader ended together.")
	ReplicaRampBegan = define(4620, "replica_ramp_began", Info,
		"This proxy limits its requests in flight to a replica that has started or recovered (reason), until its answers show how many it handles. It has limit of them now, as an equal share of a limit for all proxies. Of all begins and ends, at most ten are logged a second; omitted is the number of those before that were not.", "")
	ReplicaRampEnded = define(4621, "replica_ramp_ended", Info,
		"This proxy no longer limits its requests in flight to a replica, after lasted_ms. dropped says that the replica is gone, or was not used for long.",
		"Many ramps, or long ones, of replicas that were not restarted: they fail again and again. Look why.")
	AnswerEndless = define(4630, "answer_endless", Warn,
		"A replica sent bytes without end in place of an answer, at once or a few at a time: a head, an event, comments, or a body without a length that is far larger or slower than the answers of its route. The connection was closed after after_ms, and the replica is avoided for avoided_ms while there are others. stage says what was asked, err what did not end.",
		"Several from one replica: take it out of service. Bodies of several replicas on one route: its answers have become larger; have the service declare their length.")
	AnswerInvalid = define(4631, "answer_invalid", Warn,
		"A replica's answer has a status outside 200 to 599, a field name that is no token, a content encoding that the caller did not ask for, or is not of HTTP/1. It counts as no answer: whether the request has run is unknown, and the connection is closed. stage says what was asked, err what is wrong.",
		"Several from one replica: take it out of service.")
	CallerStalled = define(4622, "caller_stalled", Info,
		"An answer was ended, and its caller's connection reset, since the caller took nothing of it for stalled_ms. blocked_ms is how long the answer had to wait for its caller in all, unsent how many bytes of it the kernel still held. The request at the replica is cancelled; the replica is not to blame, and nothing is sent again.",
		"Many of one route: its callers read too slowly for the size of its answers, or hang.")
	CallerHeldUp = define(4623, "caller_held_up", Info,
		"A replica ended an answer that its caller had left unread for blocked_ms in all, as replicas do after some seconds. The answer is cut off; the replica is not to blame, and nothing is sent again.",
		"Many of one route: its callers read too slowly for the size of its answers, or hang.")
	RequestRefused = define(4601, "request_refused", Info,
		"A request was answered before any replica was asked: no route, no configuration, or a faulty request.", "")
	QuotaRefused = define(4611, "quota_refused", Info,
		"A request was refused since its tenant has spent its quota. cost is what it would have cost, left what the tenant may spend at once, in the quota's unit; wait_ms is when one of that cost may pass. alone says that no member answered, and this proxy decided by its own part.",
		"landingtrail quota shows how the tenant stands. Raise its quota in the configuration if that is too low.")
	PartTrialBegan = define(4632, "part_trial_began", Info,
		"A request may be sent although a part of its prompt (parts) is on trial: it shows whether the part ends replicas. waited_ms is how long it waited for that.", "")
)
