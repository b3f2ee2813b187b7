// Package placement decides which replicas of a model service read and answer
// each request, with one board that knows of all requests in flight: what every
// replica has still to read, what it runs, and which parts of prompts it keeps.
// It reads no clock and does no input or output; one goroutine uses a board.
//
// Guarantees: an answer names only replicas that are listed, admit, have the
// right role and are not excluded; equal boards give equal answers to equal
// questions.
package placement

import "time"

// Role is what a replica does.
type Role uint8

// Roles of replicas.
const (
	RoleDecode  Role = iota // makes tokens; reads prompts at a slower pace between them
	RolePrefill             // reads prompts and hands them over
)

// Replica is one replica that may take work.
type Replica struct {
	Name    string
	Zone    string
	Role    Role
	Slots   int // requests at once; 0 if not known
	Leaving bool
	// Born tells processes under one name apart; 0 if it is not known.
	Born int64
}

// Sheet is what is known of all replicas of a service beforehand.
type Sheet struct {
	KVTokens     int64   // memory of one replica, in tokens; 0 if not known
	BytesPerTok  int64   // of KV memory
	LinkMbps     float64 // for moves of memory
	GapObjective time.Duration
}

// Part is a piece of a prompt. Requests share parts; the last belongs to one
// request or session.
type Part struct {
	ID     string
	Tokens int
}

// Ask is a request that wants a place.
type Ask struct {
	Prompt   int // tokens
	Output   int // most tokens that may come out
	Priority int
	Zone     string
	// Tenant is who asks; empty where nobody is told apart.
	Tenant string
	Parts  []Part
	// Objective is how long after its arrival the first token may come for the
	// answer to be in time, 0 if nothing is promised; Age is how long ago it arrived.
	Objective time.Duration
	Age       time.Duration
	// Deadline is how long an answer is of any use.
	Deadline time.Duration
	Excluded []string
	// Connected names replicas to which the asking daemon has an open connection that
	// nothing is under way on.
	Connected []string
	// Continued requests take up a broken stream and are read where they run.
	Continued bool

	// Name tells requests apart by what they are; empty while nobody needs to.
	Name string
	// Suspect is true for a request that may have ended a replica: it goes where nothing
	// else is. Who places sets it.
	Suspect bool
	// Judged is true for a suspect under which enough replicas have ended: it waits for the
	// verdict. Who places sets it.
	Judged bool

	// deferred is true while ways are compared that let all others go first.
	deferred bool
	// pressed is true while ways are compared for a request that would be late: streams beside
	// it count less then.
	pressed bool
	// surging is true for what its tenant asks above a few times its usual.
	surging bool
	// group is the request's size group once it has a place.
	group sizeGroup
}

// Answer says where a request goes.
type Answer struct {
	// Generator runs the request; empty if none takes it.
	Generator string
	// Reader reads the prompt first; empty when the generator does it.
	Reader string
	// Fetch names a replica from which whoever reads takes what that keeps of
	// the prompt; empty for none.
	Fetch string
	// Unread is how many tokens are left to be read.
	Unread int
	// Estimate is the expected time to the first token.
	Estimate time.Duration
	// Wait, if not 0, says that the request goes nowhere yet: parts that it
	// shares are being read for another one, and it is to be asked for again
	// after so long. All else is empty then.
	Wait time.Duration
	// Deferred says that the request will be late, and is to let those go first
	// that can be in time.
	Deferred bool
	// Name asks for the request's Name: replicas end one after the other under some
	// request, and it is to be told apart. All else is empty then.
	Name bool
	// Alone says that nothing else is in flight at the generator, and that nothing is sent
	// there until the request has begun to be answered.
	Alone bool
	// Refused says that the request would not be answered before its deadline, and
	// RetryAfter when it might be. All else is empty then.
	Refused    bool
	RetryAfter time.Duration
}

// Step is how far a placed request has come.
type Step uint8

// Steps of a placed request.
const (
	StepRead        Step = iota + 1 // the reader has read the prompt
	StepStarted                     // the first token has come
	StepEnded                       // it is over
	StepFailed                      // the replica gave no answer, or broke it off
	StepErred                       // the replica answered with a failure of its own
	StepRefused                     // the replica answered that it does not run the request
	StepMisdirected                 // another replica answered at its address
	StepUnread                      // the reader has not read the prompt: the generator does
	StepGone                        // nobody listens at the replica's address
	StepLeaving                     // the replica says that it leaves; no request is over
)

// Note tells the board how far a request has come. Replica is the one that a
// StepFailed, StepErred, StepRefused, StepMisdirected or StepUnread speaks of; where that
// is the reader, the request goes on at its generator.
type Note struct {
	Step    Step
	Replica string
	// Told is how many requests the replica that took the step said to have,
	// running and waiting, 0 if it did not say.
	Told int
}

// Placed is a request in flight as the daemon knows it that asked for its place: enough
// for a board that has never seen it to count it as if it had placed it.
type Placed struct {
	Ask    Ask
	Answer Answer
	// Age is how long ago it was placed, Step how far it has come, 0 for not read yet.
	Age  time.Duration
	Step Step
}

// Key names a placed request: the daemon that asked, and its own number.
type Key struct {
	Daemon string
	Number uint64
}
