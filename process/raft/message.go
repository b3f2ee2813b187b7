package raft

// MessageKind tells what a Message asks or answers.
type MessageKind uint8

// Kinds of messages.
const (
	MessagePreVote        MessageKind = iota + 1 // would you vote for me in Term?
	MessagePreVoteReply                          // granted: Term is the one asked for; refused: the voter's
	MessageVote                                  // vote for me in Term
	MessageVoteReply                             //
	MessageAppend                                // Entries follow the entry (LogTerm, Index)
	MessageAppendReply                           // Index: persisted up to here; on Reject: the Index that did not match
	MessageHeartbeat                             // round Sequence; Commit is safe for the receiver
	MessageHeartbeatReply                        // answers round Sequence
	MessageSnapshot                              // the receiver is behind the leader's compaction
	MessageTimeoutNow                            // campaign at once, leadership is handed over
)

// Message is what members send each other. Fields that a kind doesn't use are zero.
type Message struct {
	Kind       MessageKind
	From       MemberID
	To         MemberID
	Term       uint64
	Index      uint64
	LogTerm    uint64 // term of the entry at Index, on a rejection at RejectHint
	Commit     uint64
	Reject     bool
	RejectHint uint64 // highest index at which the follower's log may match
	Transfer   bool   // on MessageVote: the leader of the term before asked for this election
	Unanimous  bool   // on MessageVote: only the votes of all voters count; on MessagePreVoteReply: granted for such a vote alone
	Sequence   uint64 // heartbeat round; on pre-votes and their replies: the question, 0 if not told
	Entries    []Entry
	Snapshot   *Snapshot
}

// fromLeader tells whether only a term's leader sends this kind.
func (k MessageKind) fromLeader() bool {
	switch k {
	case MessageAppend, MessageHeartbeat, MessageSnapshot, MessageTimeoutNow:
		return true
	default:
		return false
	}
}

// valid tells whether k is one of the kinds above.
func (k MessageKind) valid() bool {
	return k >= MessagePreVote && k <= MessageTimeoutNow
}
