package event

// Events of the control daemon and the feed: numbers 1000 to 1999.
var (
	ControlStarted = define(1000, "control_started", Info, "The control member is ready.", "")
	ControlStopped = define(1001, "control_stopped", Info, "The control member has stopped as asked.", "")
	ControlFailed  = define(1002, "control_failed", Error,
		"The member's storage failed and the member stopped; the group goes on without it.",
		"Repair or replace the disk; a member with an empty data folder joins again as a new one.")
	ControlLeads = define(1003, "control_leads", Info, "This member leads the group and holds a valid lease.", "")
	ControlJoins = define(1004, "control_joins", Info,
		"The data folder is empty but the group exists: the member joins it as a new learner.", "")
	ControlJoinDelayed = define(1005, "control_join_delayed", Warn,
		"The group has not taken this member in yet; it asks again. err names each address that was asked and where it is known from: the settings as they are now, the replicated state, or the state of an identity that this process had earlier, earlier_state_age_ms ago.",
		"If it repeats, check that the group has a leader and that the operator addresses are right.")
	ControlOtherGroup = define(1006, "control_other_group", Error,
		"A member of another group answers at a configured address.",
		"Correct the members or the group in the settings.")
	ControlHandoverFailed = define(1007, "control_handover_failed", Warn,
		"Leadership could not be handed over before the stop; the other members elect a leader after the election timeout.", "")
	ControlDiskDiscarded = define(1008, "control_disk_discarded", Error,
		"The data folder was damaged or had lost its state; it was emptied, and the member joins the group as a new one.",
		"Check the disk.")
	ControlRemoved = define(1009, "control_removed", Error,
		"The group has removed this member's identity, for example because another disk joined under its name; the member stops.",
		"Start it again with an empty data folder if it is still wanted.")
	ControlReopens = define(1014, "control_reopens", Warn,
		"The member's storage failed; the member is opened again after a pause.", "Look at the disk if it repeats.")
	ControlRole = define(1013, "control_role", Info,
		"This member's part in the group, its leader or the group's configuration has changed.", "")
	ControlLeft = define(1015, "control_left", Info,
		"The group has removed this member as it stopped, since enough others are left; when it is started again it joins as a new one.", "")
	ControlStays = define(1016, "control_stays", Info,
		"This member has stopped and is still counted as a voter: the group needs it, or could not remove it in time.",
		"If it is gone for good, replace it.")
	PeerConnected    = define(1020, "peer_connected", Info, "A connection to another member is up.", "")
	PeerDisconnected = define(1021, "peer_disconnected", Info,
		"A connection to another member ended or could not be made; it is tried again.",
		"If it repeats, check that member and the path to it.")
	PeerRefused = define(1022, "peer_refused", Warn,
		"A connection between members was refused: another group, another identity, or bytes of another protocol.",
		"Check the addresses in the settings; a member that came back with another disk is found anew by itself.")
	MemberAdded    = define(1010, "member_added", Info, "A learner was added to the group.", "")
	MemberPromoted = define(1011, "member_promoted", Info,
		"A learner that has caught up became a voter.", "")
	MemberRemoved = define(1012, "member_removed", Info,
		"A member was removed from the group; its identity is never used again.", "")

	FeedDisconnected = define(1100, "feed_disconnected", Info,
		"The connection to a control member ended; the client tries the leader it was told of or the next address.",
		"If it repeats on one daemon, check the path to the control members and whether they have a leader.")
	FeedStandby = define(1104, "feed_standby", Info,
		"No leader serves this daemon; another member places its requests until one does. Views and claims wait for the leader.", "")
	FeedStandbyEnded = define(1105, "feed_standby_ended", Info,
		"A member stands by no longer, or could not be asked to; while no leader serves this daemon the next one is asked.", "")
	FeedServed  = define(1103, "feed_served", Info, "A leader serves this daemon: it gets views and places from now on.", "")
	FeedRefused = define(1101, "feed_refused", Warn,
		"A connection to the feed was refused.",
		"Raise the limit on subscribers if the daemons are all wanted.")
	FeedMisplacedFrame = define(1106, "feed_misplaced_frame", Warn,
		"A control member or another daemon sent what it was not asked for: the reply to another kind of question, or a leader's word where only placements were asked for. It counts as nothing, and the connection was ended.",
		"If one address keeps doing so, check its version and stop it.")
	FeedEnded = define(1102, "feed_ended", Info,
		"A subscription ended: the daemon went away, was too slow, or sent bytes that are none of the protocol's.",
		"If one daemon's subscription keeps ending, check the path to it and its version.")

	OrderOpened  = define(1200, "order_opened", Info, "An order for an engine was committed.", "")
	OrderClosed  = define(1201, "order_closed", Info, "The engine's own word closed its order.", "")
	OrderRefused = define(1202, "order_refused", Warn,
		"An engine called an order invalid; the order is made void.",
		"Check that the engine can serve the intent's model, version and adapters.")
	OrderSendFailed = define(1203, "order_send_failed", Debug,
		"An order or void brought no answer; the engine is asked for its state and the order is sent again.", "")
	MachinesChanged  = define(1210, "machines_changed", Info, "The platform's list of leaving and gone machines changed.", "")
	PlatformUnusable = define(1211, "platform_unusable", Warn,
		"The platform's list of machines could not be read; the last list stands.",
		"Check the platform's address.")
	FleetChanged = define(1212, "fleet_changed", Info,
		"The replicas on the platform's list or the proxies that take requests have changed; the change is committed.", "")
	FleetUnusable = define(1213, "fleet_unusable", Warn,
		"The platform's list of replicas could not be read; the last list stands.",
		"Check the platform's address, and whether its rate of calls is used up.")
	FleetForeign = define(1215, "fleet_foreign", Warn,
		"Entries of the platform's list name no replica: another writer left them, or they are of an unknown state. They are passed over; the others hold. faults counts them by what is wrong.",
		"If an entry of ours is meant, look at it in the list.")
	FleetReadable = define(1214, "fleet_readable", Info, "The platform's list of replicas can be read again.", "")
	KeptAsked     = define(1220, "kept_asked", Info,
		"A new leader has asked a replica which parts of prompts it keeps, since no proxy has told.", "")
	RolesPlanned = define(1221, "roles_planned", Info,
		"Replicas of a routed service are to take another role. late is the share of requests that could not be placed in time, of about as many as requests says; the numbers of readers, generators and changing replicas are those before.", "")
	RoleOrdered = define(1222, "role_ordered", Info,
		"A replica was told to take another role, under the fence; the outcome is its answer, or none for lack of one.", "")
	QuarantineChanged = define(1230, "quarantine_changed", Warn,
		"Replicas ended under a request, which is watched, or held: then it goes to no replica until the time, or until an operator releases it. fingerprint names the request whatever its ID, request is the ID under which it came last, replicas the processes that ended, at most eight. With a state that begins with part_ the fingerprint stands for a part of prompts, in requests of which no two need be alike; callers says whose requests are concerned, * for those of all.",
		"Find the caller by the request's ID in the proxies' logs (4606). Once the request or the replicas are mended: landingtrail release FINGERPRINT. Of a part, 4606 and 4607 name the parts of the requests.")
	QuarantineEnded = define(1231, "quarantine_ended", Info,
		"A request is on record no more: it was served, its replicas live, its time is over, or an operator released it (by).", "")
	UsageDecided = define(1232, "usage_decided", Info,
		"What was counted of a window is final. partial says that a process fell silent whose counts of it may lack.",
		"If partial: the process's own log tells what it served meanwhile.")
	UsageReported = define(1233, "usage_reported", Info,
		"A window's usage was handed to the platform under the fence; the outcome is its answer, or none for lack of one: then the same is handed over again.", "")
	CapacityDecided = define(1234, "capacity_decided", Info,
		"How many replicas a zone of a service is to have, of those that last and of those that the platform may withdraw, and why.", "")
	CapacityOrdered = define(1235, "capacity_ordered", Info,
		"The platform was told how many replicas of a kind a zone is to have, under the fence; the outcome is its answer: dry says that none are to be had there now.", "")
	SuspectRecorded = define(1236, "suspect_recorded", Info,
		"A replica ended under a request, which tells nothing yet. It is on record for a minute, so that a second end counts as one whoever leads then. fingerprint names the request whatever its ID.", "")
	EvidenceKept = define(1237, "evidence_kept", Info,
		"What this member was told of replicas that ended under requests is on its disk, synced: ends is how many, the latest of those that say most.", "")
	EvidenceNotKept = define(1238, "evidence_not_kept", Warn,
		"What this member was told of replicas that ended could not be written; it is tried again. The other members were told as well.",
		"Look at the disk if it repeats.")
	EvidenceRecalled = define(1239, "evidence_recalled", Info,
		"This member has read what an earlier life of it was told of replicas that ended.", "")
	EvidenceUnreadable = define(1240, "evidence_unreadable", Warn,
		"What another member has told of replicas that ended (from its ID), or the file of it, can't be read; it is passed over.",
		"Check the versions of the members; a damaged file is replaced with the next word.")
	LimitAnnounced = define(1241, "limit_announced", Info,
		"This member announces to all proxies that a replica states a limit on the requests a second of all proxies together (limited, per_second), states another one, or none any more. age_ms is the age of the proxy's report.",
		"A limit now and then needs nothing. Many replicas of one service: it is too small for what is asked of it.")
	RampBegan = define(1242, "ramp_began", Info,
		"The leader limits the requests in flight on a replica of a model service, or queued to be read there, since it has started or recovered (reason): to limit at first, and further as its answers show how many it handles. age_ms is how long ago that was; omitted, in the last line of a second, is how many such begins and ends were not logged.",
		"Many ramps of replicas that were not restarted: look why they fail.")
	StreamsArchived = define(1245, "streams_archived", Info,
		"Replicas of several software versions of a service are listed: which version began a stream is written to this member's disk and sent to the other members from now on, beginning with what is remembered.", "")
	StreamsRecalled = define(1246, "streams_recalled", Info,
		"This member has read which software versions began the streams that an earlier life of it knew.", "")
	StreamsNotKept = define(1247, "streams_not_kept", Warn,
		"What is known of the software versions that began streams could not be written; it is tried again.",
		"Look at the disk if it repeats.")
	StreamsUnreadable = define(1248, "streams_unreadable", Warn,
		"A file of what is known of the software versions that began streams, or what another member has told of them (from its ID), can't be read further; the rest is passed over, and streams of which nothing else is known are refused.",
		"Check the versions of the members; a file that ends in the middle is what a kill leaves.")
	RampEnded = define(1243, "ramp_ended", Info,
		"The leader no longer limits the requests in flight on a replica, after lasted_ms: it handles as many as it has slots, or as are asked of it. dropped says that it is no longer listed, or has changed its role; a ramp goes on in the new one.", "")
	BoardShows = define(1223, "board_shows", Info,
		"What the board of a service shows of its replicas, and what it has answered since the last such line, each second in which it places requests.", "")
	IngressReplaced = define(1310, "ingress_replaced", Info,
		"A whole configuration of routes was proposed; the outcome says whether it holds now.", "")
	IngressRefused = define(1311, "ingress_refused", Info,
		"A whole configuration of routes was invalid and changed nothing.", "Read the faults.")
	IngressNotTaken = define(1312, "ingress_not_taken", Warn,
		"A whole configuration of routes was not taken, or its outcome is not known.",
		"Send it again; if it repeats, check that the group has a leader and enough members.")
	OperatorRequestFailed = define(1300, "operator_request_failed", Warn,
		"An operator request could not be served.", "")
)
