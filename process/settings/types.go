package settings

import (
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// File is everything a file can hold. A deployment may keep one file for each
// section or one for all; a daemon reads its own section.
type File struct {
	Log     *Log         `yaml:"log" usage:"What the daemons log."`
	Control *Control     `yaml:"control" usage:"A member of the control group."`
	Proxy   *Proxy       `yaml:"proxy" usage:"A proxy beside a caller."`
	Objects []api.Object `yaml:"objects" usage:"Objects for landingtrail apply."`
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
	Join            bool     `yaml:"join" default:"false" usage:"Let a member with an empty data folder ask the members to take it in as a learner, instead of founding the group."`
	PeerAddress     string   `yaml:"peerAddress" format:"address" usage:"Where this member listens for the others; empty: as in members."`
	FeedAddress     string   `yaml:"feedAddress" format:"address" usage:"Where this member listens for proxies; empty: as in members."`
	OperatorAddress string   `yaml:"operatorAddress" format:"address" usage:"Where this member listens for operators; empty: as in members."`
	PlatformAddress string   `yaml:"platformAddress" format:"address" usage:"The platform's list of live and leaving machines; empty: no machine is taken for leaving."`

	ElectionTimeout   time.Duration `yaml:"electionTimeout" default:"1s" min:"50ms" max:"1m" usage:"Silence of the leader after which a member asks for votes; each wait is between one and two of these."`
	HeartbeatInterval time.Duration `yaml:"heartbeatInterval" default:"100ms" min:"5ms" max:"10s" usage:"Time between the leader's heartbeats; at most half of leaseDuration."`
	LeaseDuration     time.Duration `yaml:"leaseDuration" default:"800ms" min:"20ms" max:"1m" usage:"How long a leader may decide alone after a majority answered; at most nine tenths of electionTimeout, for the clocks' drift."`
	ViewLease         time.Duration `yaml:"viewLease" default:"3s" min:"100ms" max:"1m" usage:"How long a daemon may use its view without confirmation; also the longest wait for a change to be in force."`
	ReconcileInterval time.Duration `yaml:"reconcileInterval" default:"200ms" min:"10ms" max:"1m" usage:"Pause between two rounds of the leader's duties: plans and orders."`
	EngineInterval    time.Duration `yaml:"engineInterval" default:"500ms" min:"10ms" max:"1m" usage:"Pause between two questions to one engine."`
	EngineTimeout     time.Duration `yaml:"engineTimeout" default:"2s" min:"10ms" max:"1m" usage:"Longest wait for one answer of an engine."`
	EngineSilence     time.Duration `yaml:"engineSilence" default:"5s" min:"50ms" max:"1h" usage:"Age from which what an engine said of itself counts for nothing."`
	PlatformInterval  time.Duration `yaml:"platformInterval" default:"1s" min:"10ms" max:"1m" usage:"Pause between two reads of the platform's list."`
	ProposalTimeout   time.Duration `yaml:"proposalTimeout" default:"5s" min:"50ms" max:"5m" usage:"Longest wait for a commit before its outcome is called unknown."`
	StopTimeout       time.Duration `yaml:"stopTimeout" default:"10s" min:"100ms" max:"1h" usage:"Longest planned stop: handing over leadership and ending answers."`

	MaxAffectedEngines     int           `yaml:"maxAffectedEngines" default:"8" min:"0" max:"100000" unit:"engines" usage:"Engines whose model or version one transaction may change unless it allows broad changes; 0: no bound."`
	OperationRetention     time.Duration `yaml:"operationRetention" default:"24h" min:"1m" max:"8760h" usage:"How long the answer to an operation ID is kept."`
	ClaimRetention         time.Duration `yaml:"claimRetention" default:"24h" min:"1m" max:"8760h" usage:"How long an at-most-once claim is kept."`
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
	Name         string   `yaml:"name" required:"true" format:"name" usage:"Name of the proxy."`
	Zone         string   `yaml:"zone" required:"true" format:"name" usage:"Zone of the proxy; near engines are preferred."`
	Address      string   `yaml:"address" required:"true" format:"address" usage:"Where callers reach it over HTTP."`
	AdminAddress string   `yaml:"adminAddress" format:"address" usage:"Where metrics and health are served; empty: nowhere."`
	Control      []string `yaml:"control" required:"true" format:"address" usage:"Feed addresses of the control members."`

	LeaseLost     string        `yaml:"leaseLost" default:"refuse" allowed:"refuse|serve" usage:"What becomes of model work while the view is past its lease: refuse it as not run, or serve engines that confirmed since."`
	MaxBodyBytes  int64         `yaml:"maxBodyBytes" default:"4194304" min:"1024" max:"1073741824" unit:"bytes" usage:"Longest request body."`
	QueueTimeout  time.Duration `yaml:"queueTimeout" default:"10s" min:"0s" max:"1h" usage:"Longest wait for an engine, within the request's deadline."`
	RetryBudget   float64       `yaml:"retryBudget" default:"0.2" min:"0" max:"1" unit:"share of requests" usage:"Retries allowed as a share of the traffic."`
	LoadInterval  time.Duration `yaml:"loadInterval" default:"200ms" min:"10ms" max:"1m" usage:"Time between two reads of an engine's load."`
	StopTimeout   time.Duration `yaml:"stopTimeout" default:"10m" min:"0s" max:"24h" usage:"Longest planned stop; requests in flight are finished within it."`
	FollowEngines int           `yaml:"followEngines" default:"0" min:"0" max:"100000" unit:"engines" usage:"Engines of each model whose load and cache this proxy follows; 0: all."`
}
