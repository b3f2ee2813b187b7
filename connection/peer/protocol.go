// Package peer carries the agreement messages between the members of a control
// group over TCP. Each member keeps one outgoing connection to each peer for
// messages and a second one for snapshots, so that heartbeats never wait behind
// a snapshot. Delivery is best effort: queues are bounded and drop their oldest
// messages, since the agreement protocol sends again what was lost. Notices, which
// need no agreement, go the way of the messages; who sends them tells all anew
// when a connection comes up.
package peer

import (
	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Protocol is the preface of the connections between members.
var Protocol = frame.Protocol{ID: 1, Version: 2}

// Errors of a handshake.
var (
	// ErrWrongGroup says that the other side belongs to another group.
	ErrWrongGroup = errors.New("peer: other side belongs to another group")
	// ErrWrongMember says that the address belongs to another member by now, for
	// example because that machine lost its disk.
	ErrWrongMember = errors.New("peer: address belongs to another member")
	// ErrHandshake says that the other side broke the protocol.
	ErrHandshake = errors.New("peer: invalid handshake")
)

// Kinds of frames.
const (
	frameHello      frame.Kind = iota + 1 // first frame of the connecting side
	frameWelcome                          // its answer
	frameMessage                          // one encoded raft.Message
	frameChunk                            // a piece of a message
	frameFinalChunk                       // the last piece of a message
	framePing
	framePong
	frameNotice // what members tell each other beside the agreement
)

// lane tells what a connection is for.
type lane uint8

const (
	laneMessages lane = iota + 1
	laneSnapshots
	laneProbe // asks who is there, and ends
)

// verdict is the answer to a hello.
type verdict uint8

const (
	verdictAccepted verdict = iota + 1
	verdictWrongGroup
	verdictWrongMember
)

const handshakeBytes = 64

// hello names the group, the sender and the member that the sender means to reach.
type hello struct {
	group    uint64
	sender   raft.MemberID
	receiver raft.MemberID
	lane     lane
}

func (h hello) encode() []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(h.group)
	encoder.Uint64(uint64(h.sender))
	encoder.Uint64(uint64(h.receiver))
	encoder.Uint8(uint8(h.lane))
	return encoder.Data()
}

func decodeHello(data []byte) (hello, error) {
	decoder := frame.NewDecoder(data)
	h := hello{
		group:    decoder.Uint64(),
		sender:   raft.MemberID(decoder.Uint64()),
		receiver: raft.MemberID(decoder.Uint64()),
		lane:     lane(decoder.Uint8()),
	}
	if err := decoder.Finish(); err != nil {
		return hello{}, errors.Wrap(ErrHandshake, err.Error())
	}
	if h.lane < laneMessages || h.lane > laneProbe {
		return hello{}, errors.Wrapf(ErrHandshake, "lane %d", h.lane)
	}
	return h, nil
}

// welcome answers a hello; it names the answering side also when it refuses.
type welcome struct {
	verdict     verdict
	group       uint64
	member      raft.MemberID
	initialized bool
}

func (w welcome) encode() []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint8(uint8(w.verdict))
	encoder.Uint64(w.group)
	encoder.Uint64(uint64(w.member))
	encoder.Bool(w.initialized)
	return encoder.Data()
}

func decodeWelcome(data []byte) (welcome, error) {
	decoder := frame.NewDecoder(data)
	w := welcome{
		verdict:     verdict(decoder.Uint8()),
		group:       decoder.Uint64(),
		member:      raft.MemberID(decoder.Uint64()),
		initialized: decoder.Bool(),
	}
	if err := decoder.Finish(); err != nil {
		return welcome{}, errors.Wrap(ErrHandshake, err.Error())
	}
	return w, nil
}

// err returns the refusal as an error.
func (w welcome) err() error {
	switch w.verdict {
	case verdictAccepted:
		return nil
	case verdictWrongGroup:
		return errors.Wrapf(ErrWrongGroup, "group %x", w.group)
	case verdictWrongMember:
		return errors.Wrapf(ErrWrongMember, "member %x", w.member)
	}
	return errors.Wrapf(ErrHandshake, "verdict %d", w.verdict)
}

// judge decides on a hello.
func (t *Transport) judge(h hello) verdict {
	if h.group != t.config.Group {
		return verdictWrongGroup
	}
	if h.lane == laneProbe {
		return verdictAccepted
	}
	if h.receiver != t.config.ID || h.sender == t.config.ID || h.sender == raft.None {
		return verdictWrongMember
	}
	return verdictAccepted
}
