package raft

// MessageKind is the type of a Message.
type MessageKind uint8

// Kinds of messages.
const (
	MessagePreVote        MessageKind = iota + 1 // asks whether the receiver would grant a vote in Term
	MessagePreVoteReply                          // Term is the requested one if granted, the voter's current one if rejected
	MessageVote                                  // requests a vote in Term
	MessageVoteReply                             // grants the vote unless Reject is set
	MessageAppend                                // Entries follow the entry (LogTerm, Index)
	MessageAppendReply                           // Index is the last persisted one or, on Reject, the Index of the rejected message
	MessageHeartbeat                             // starts round Sequence; the receiver may commit up to Commit
	MessageHeartbeatReply                        // replies to round Sequence
	MessageSnapshot                              // replaces entries that the leader has compacted
	MessageTimeoutNow                            // asks the receiver to campaign at once, for a leadership transfer
)

// Message is a message between members. Fields that its kind doesn't use are zero.
type Message struct {
	Kind       MessageKind
	From       MemberID
	To         MemberID
	Term       uint64
	Index      uint64
	LogTerm    uint64 // term of the entry at Index or, on a rejection, at RejectHint
	Commit     uint64
	Reject     bool
	RejectHint uint64 // highest index at which the follower's log may match the leader's
	Transfer   bool   // on MessageVote: the previous leader requested this election
	Unanimous  bool   // on MessageVote: the election needs all votes; on MessagePreVoteReply: granted only for such an election
	Sequence   uint64 // heartbeat round; on pre-votes and their replies: the preVoteID; a reply with 0 is accepted without comparison
	Entries    []Entry
	Snapshot   *Snapshot
}

// fromLeader reports whether only the leader of a term sends this kind.
func (k MessageKind) fromLeader() bool {
	switch k {
	case MessageAppend, MessageHeartbeat, MessageSnapshot, MessageTimeoutNow:
		return true
	default:
		return false
	}
}

// valid reports whether k is a known kind.
func (k MessageKind) valid() bool {
	return k >= MessagePreVote && k <= MessageTimeoutNow
}
