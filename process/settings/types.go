package settings

import (
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// File is everything a file can hold. A deployment may keep one file for each
// section or one for all; a daemon reads its own section.
type File struct {
	Log     *Log         `yaml:"log,omitempty" usage:"What the daemons log."`
	Control *Control     `yaml:"control,omitempty" usage:"A member of the control group."`
	Proxy   *Proxy       `yaml:"proxy,omitempty" usage:"A proxy beside a caller."`
	Relay   *Relay       `yaml:"relay,omitempty" usage:"A relay of the feed between the control group and its daemons."`
	Objects []api.Object `yaml:"objects,omitempty" usage:"Objects for landingtrail apply."`
}

// Log is what a daemon logs.
type Log struct {
	Level string `yaml:"level" default:"info" allowed:"debug|info|warn|error" usage:"Least severity that is logged."`
}

// Member is one member of the control group as every process knows it.
type Member struct {
	Name            string `yaml:"name" required:"true" format:"name" usage:"Name of the member."`
	Zone            string `yaml:"zone" format:"name" usage:"Zone of the member."`
	PeerAddress     string `yaml:"peerAddress" required:"true" format:"address" usage:"Where the other members reach it."`
	FeedAddress     string `yaml:"feedAddress" required:"true" format:"address" usage:"Where proxies follow the state and claim."`
	OperatorAddress string `yaml:"operatorAddress" required:"true" format:"address" usage:"Where operators reach it over HTTP; metrics and health are there too."`
}

// Control is the settings of one member of the control group.
type Control struct {
	Name            string   `yaml:"name" required:"true" format:"name" usage:"Which of the members this process is."`
	Group           string   `yaml:"group" required:"true" format:"name" usage:"Name of the group; connections of another group are refused."`
	DataDirectory   string   `yaml:"dataDirectory" required:"true" usage:"Folder of the log and snapshots; one for each member."`
	Members         []Member `yaml:"members" required:"true" usage:"The founding members, this one among them; the same list on each."`
	Join            bool     `yaml:"join" default:"false" usage:"Let a member with an empty data folder ask the members to take it in as a learner, instead of founding the group; a damaged folder is emptied for that while the others have a leader."`
	PeerAddress     string   `yaml:"peerAddress" format:"address" usage:"Where this member listens for the others; empty: as in members."`
	FeedAddress     string   `yaml:"feedAddress" format:"address" usage:"Where this member listens for proxies; empty: as in members."`
	OperatorAddress string   `yaml:"operatorAddress" format:"address" usage:"Where this member listens for operators; empty: as in members."`
	PlatformAddress string   `yaml:"platformAddress" format:"address" usage:"The platform's list of live and leaving machines; empty: no machine is taken for leaving."`

	ElectionTimeout   time.Duration `yaml:"electionTimeout" default:"1s" min:"50ms" max:"1m" usage:"Silence of the leader after which a member asks for votes; each wait is between one and two of these."`
	HeartbeatInterval time.Duration `yaml:"heartbeatInterval" default:"100ms" min:"5ms" max:"10s" usage:"Time between the leader's heartbeats; at most half of leaseDuration."`
	LeaseDuration     time.Duration `yaml:"leaseDuration" default:"800ms" min:"20ms" max:"1m" usage:"How long a leader may decide alone after a majority answered; at most nine tenths of electionTimeout, for the clocks' drift."`
	ViewLease         time.Duration `yaml:"viewLease" default:"3s" min:"100ms" max:"1m" usage:"How long a daemon may use its view without confirmation; also the longest wait for a change to be in force."`
	ReconcileInterval time.Duration `yaml:"reconcileInterval" default:"200ms" min:"10ms" max:"1m" usage:"Pause between two rounds of the leader's duties toward the engines."`
	PlanInterval      time.Duration `yaml:"planInterval" default:"500ms" min:"10ms" max:"10m" usage:"Pause between two plans of the engines' roles."`
	EngineInterval    time.Duration `yaml:"engineInterval" default:"500ms" min:"10ms" max:"1m" usage:"Pause between two questions to one engine."`
	EngineTimeout     time.Duration `yaml:"engineTimeout" default:"2s" min:"10ms" max:"1m" usage:"Longest wait for one answer of an engine."`
	EngineSilence     time.Duration `yaml:"engineSilence" default:"5s" min:"50ms" max:"1h" usage:"Age from which what an engine said of itself counts for nothing; three rounds of questions where these take longer, as before thousands of engines."`
	FailurePause      time.Duration `yaml:"failurePause" default:"30s" min:"1ms" max:"24h" usage:"How long an assignment that an engine could not take on is not tried again."`
	PlatformInterval  time.Duration `yaml:"platformInterval" default:"1s" min:"10ms" max:"1m" usage:"Pause between two reads of the platform's list."`
	ProxySilence      time.Duration `yaml:"proxySilence" default:"3s" min:"100ms" max:"1h" usage:"How long a proxy of routed requests that says nothing is still named to callers."`
	OrderSettle       time.Duration `yaml:"orderSettle" default:"5s" min:"0s" max:"1h" usage:"How long a new leader orders no replica of a routed service to change its role; the orders and the lease of the one before pass meanwhile."`
	MemberSilence     time.Duration `yaml:"memberSilence" default:"8s" min:"1s" max:"24h" usage:"How long a member may stay away before it is dropped; only where lossesToBear is set and enough others are left."`
	ProposalTimeout   time.Duration `yaml:"proposalTimeout" default:"5s" min:"50ms" max:"5m" usage:"Longest wait for a commit before its outcome is called unknown."`
	StopTimeout       time.Duration `yaml:"stopTimeout" default:"10s" min:"100ms" max:"1h" usage:"Longest planned stop: handing over leadership and ending answers."`

	MaxAffectedEngines     int           `yaml:"maxAffectedEngines" default:"8" min:"0" max:"100000" unit:"engines" usage:"Engines whose model or version one transaction may change unless it allows broad changes; 0: no bound."`
	OperationRetention     time.Duration `yaml:"operationRetention" default:"24h" min:"1m" max:"8760h" usage:"How long the answer to an operation ID is kept."`
	ClaimRetention         time.Duration `yaml:"claimRetention" default:"24h" min:"1m" max:"8760h" usage:"How long an at-most-once claim is kept; a key that comes again after it is a new request."`
	MaxBodyBytes           int64         `yaml:"maxBodyBytes" default:"8388608" min:"1024" max:"1073741824" unit:"bytes" usage:"Longest body of an operator's request."`
	SnapshotEntries        uint64        `yaml:"snapshotEntries" default:"10000" min:"16" max:"10000000" unit:"log entries" usage:"Entries applied between two snapshots; bounds the time of a restart."`
	MaxDaemons             int           `yaml:"maxDaemons" default:"4096" min:"1" max:"100000" unit:"daemons" usage:"Daemons that may follow this member's feed."`
	MaxOperatorConnections int           `yaml:"maxOperatorConnections" default:"256" min:"1" max:"100000" unit:"connections" usage:"Connections of operators to this member."`

	Planner    string  `yaml:"planner" default:"landingtrail" allowed:"landingtrail|static|threshold" usage:"Policy that decides on role changes."`
	ChangeCost float64 `yaml:"changeCost" default:"0" min:"0" max:"86400" unit:"seconds of one engine's work" usage:"Weight of a role change against goodput where an intent names none."`
}

// Self returns this process's entry in the list of members.
func (c *Control) Self() Member {
	for _, member := range c.Members {
		if member.Name == c.Name {
			return member
		}
	}
	return Member{}
}

// Proxy is the settings of one proxy.
type Proxy struct {
	Name         string   `yaml:"name" required:"true" format:"name" usage:"Name of the proxy; no other daemon has it."`
	Zone         string   `yaml:"zone" required:"true" format:"name" usage:"Zone of the proxy; near engines are preferred."`
	Address      string   `yaml:"address" required:"true" format:"address" usage:"Where callers reach it over HTTP."`
	AdminAddress string   `yaml:"adminAddress" required:"true" format:"address" usage:"Where metrics and health are served."`
	Control      []string `yaml:"control" required:"true" format:"address" usage:"Feed addresses of the control members."`

	ModelOnControlLoss   string `yaml:"modelOnControlLoss" default:"serve" allowed:"serve|refuse" usage:"Model work once the view lease has lapsed: go on with engines that confirmed since, or refuse it as not run."`
	BackendOnControlLoss string `yaml:"backendOnControlLoss" default:"serve" allowed:"serve|refuse" usage:"Requests to plain back ends once the view lease has lapsed."`

	DialTimeout       time.Duration `yaml:"dialTimeout" default:"1s" min:"1ms" max:"1m" usage:"Longest wait for a connection to an engine or a back end."`
	HeadTimeout       time.Duration `yaml:"headTimeout" default:"3s" min:"1ms" max:"10m" usage:"Longest wait for an engine's admission or refusal."`
	FirstTokenTimeout time.Duration `yaml:"firstTokenTimeout" default:"20s" min:"1ms" max:"1h" usage:"Longest wait for the first token after admission."`
	StallTimeout      time.Duration `yaml:"stallTimeout" default:"10s" min:"1ms" max:"1h" usage:"Longest wait between two events of a stream."`
	WriteTimeout      time.Duration `yaml:"writeTimeout" default:"10s" min:"1ms" max:"1h" usage:"Longest wait for a caller that stopped reading."`
	ReadBodyTimeout   time.Duration `yaml:"readBodyTimeout" default:"30s" min:"1ms" max:"1h" usage:"Longest time that a caller may take to send a body."`
	IdleTimeout       time.Duration `yaml:"idleTimeout" default:"2m" min:"1s" max:"1h" usage:"How long a caller's connection may stay without a request."`
	ClaimTimeout      time.Duration `yaml:"claimTimeout" default:"2s" min:"10ms" max:"1m" usage:"Longest wait for the control group's answer to an at-most-once claim."`
	DefaultDeadline   time.Duration `yaml:"defaultDeadline" default:"1m" min:"1ms" max:"24h" usage:"Deadline of requests that bring none and whose class has none."`

	MaxBodyBytes   int64   `yaml:"maxBodyBytes" default:"1048576" min:"1024" max:"1073741824" unit:"bytes" usage:"Longest request body."`
	MaxHeldBytes   int64   `yaml:"maxHeldBytes" default:"67108864" min:"1024" max:"1099511627776" unit:"bytes" usage:"Request bodies held at once for model services, and as much for plain back ends; what does not fit is refused."`
	MaxAnswerBytes int64   `yaml:"maxAnswerBytes" default:"4194304" min:"1024" max:"1073741824" unit:"bytes" usage:"Longest answer that is held until it is whole."`
	MaxEventBytes  int     `yaml:"maxEventBytes" default:"262144" min:"1024" max:"1073741824" unit:"bytes" usage:"Longest event of a stream."`
	MaxInFlight    int     `yaml:"maxInFlight" default:"256" min:"1" max:"1000000" unit:"requests" usage:"Running requests of a service that sets no bound."`
	QueueLimit     int     `yaml:"queueLimit" default:"128" min:"1" max:"1000000" unit:"requests" usage:"Waiting requests of a class that sets no bound."`
	Attempts       int     `yaml:"attempts" default:"4" min:"1" max:"100" unit:"runs" usage:"Runs of one request that may be repeated."`
	Resumes        int     `yaml:"resumes" default:"3" min:"1" max:"100" unit:"resumes" usage:"Resumes of one run's stream."`
	RetryShare     float64 `yaml:"retryShare" default:"0.2" min:"0.001" max:"1" unit:"share of the requests" usage:"Retries that the traffic of a service pays for; services do not share them."`
	RetryReserve   int     `yaml:"retryReserve" default:"20" min:"1" max:"100000" unit:"retries" usage:"Retries that may be saved up."`

	LoadInterval   time.Duration `yaml:"loadInterval" default:"250ms" min:"10ms" max:"1m" usage:"Pause between two reads of a back end's load."`
	CacheInterval  time.Duration `yaml:"cacheInterval" default:"500ms" min:"10ms" max:"1m" usage:"Pause between two reads of an engine's cache events."`
	DemandInterval time.Duration `yaml:"demandInterval" default:"1s" min:"100ms" max:"1m" usage:"Pause between two reports of demand to the control group."`
	BeatInterval   time.Duration `yaml:"beatInterval" default:"500ms" min:"10ms" max:"1m" usage:"Pause between two confirmations of the view; well below the group's viewLease."`

	PollBytes    int `yaml:"pollBytes" default:"7000" min:"400" max:"1000000000" unit:"bytes a second" usage:"What reading load and cache events may cost, shared by the services; with more engines each is asked less often."`
	FollowLocal  int `yaml:"followLocal" default:"16" min:"1" max:"100000" unit:"engines" usage:"Engines of the proxy's own zone, for each service, whose load and cache it follows."`
	FollowRemote int `yaml:"followRemote" default:"8" min:"0" max:"100000" unit:"engines" usage:"Engines of other zones that it follows, so that the loss of a zone leaves some."`

	DrainNotice time.Duration `yaml:"drainNotice" default:"1s" min:"1ms" max:"5m" usage:"How long a stopping proxy still accepts, telling callers to close their connections."`
	DrainLimit  time.Duration `yaml:"drainLimit" default:"0s" min:"0s" max:"24h" usage:"Longest wait for requests in flight at a stop; 0s: no bound, so that none is cut."`
}

// Relay is the settings of one relay of the feed.
type Relay struct {
	Name           string        `yaml:"name" required:"true" format:"name" usage:"Name of the relay; no other daemon has it."`
	Zone           string        `yaml:"zone" required:"true" format:"name" usage:"Zone of the relay."`
	FeedAddress    string        `yaml:"feedAddress" required:"true" format:"address" usage:"Where daemons follow the relay; they name it in proxy.control, beside other relays."`
	AdminAddress   string        `yaml:"adminAddress" required:"true" format:"address" usage:"Where metrics and health are served."`
	Control        []string      `yaml:"control" required:"true" format:"address" usage:"Feed addresses of the control members."`
	Lease          time.Duration `yaml:"lease" default:"1500ms" min:"50ms" max:"30s" usage:"Longest view lease that is passed on; at most half of control.viewLease, so that a daemon that hangs holds up only itself."`
	BeatInterval   time.Duration `yaml:"beatInterval" default:"500ms" min:"10ms" max:"1m" usage:"Pause between two confirmations of the relay's own view; well below control.viewLease."`
	DemandInterval time.Duration `yaml:"demandInterval" default:"1s" min:"100ms" max:"1m" usage:"Pause between two reports of the daemons' summed demand to the control group."`
	ClaimTimeout   time.Duration `yaml:"claimTimeout" default:"5s" min:"10ms" max:"1m" usage:"Longest wait for the control group's answer to a claim that is passed on."`
	StopTimeout    time.Duration `yaml:"stopTimeout" default:"10s" min:"100ms" max:"1h" usage:"Longest planned stop: answering claims and sending the daemons on."`
	MaxDaemons     int           `yaml:"maxDaemons" default:"1024" min:"1" max:"100000" unit:"daemons" usage:"Daemons that may follow the relay."`
}
