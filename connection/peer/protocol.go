// Package peer transports Raft messages between the members of a control group over
// TCP. Each member keeps one outgoing connection to each peer for messages and a second
// one for snapshots, so that heartbeats never wait behind a snapshot. Delivery is best
// effort: queues are bounded and drop their oldest messages, since Raft resends what was
// lost. Notices carry data outside of Raft and share the connection of the messages. Since
// they may be lost too, their sender must resend the full state that they convey when a
// connection is established (EventConnected).
package peer

import (
	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Protocol identifies the protocol between members in the connection preface.
var Protocol = frame.Protocol{ID: 1, Version: 2}

// Handshake errors.
var (
	// ErrWrongGroup reports that the remote end belongs to another group.
	ErrWrongGroup = errors.New("peer: remote end belongs to another group")
	// ErrWrongMember reports that the address now belongs to another member, for
	// example after the machine lost its disk and was given a new ID.
	ErrWrongMember = errors.New("peer: address belongs to another member")
	// ErrHandshake reports that the remote end violated the protocol, in the handshake or
	// later.
	ErrHandshake = errors.New("peer: protocol violation")
)

// Kinds of frames.
const (
	frameHello      frame.Kind = iota + 1 // first frame from the connecting side
	frameWelcome                          // reply to the hello
	frameMessage                          // one encoded raft.Message
	frameChunk                            // part of a message
	frameFinalChunk                       // last part of a message
	framePing
	framePong
	frameNotice // data exchanged between members outside of Raft
)

// channel identifies the purpose of a connection.
type channel uint8

const (
	channelMessages channel = iota + 1
	channelSnapshots
	channelProbe // only exchanges the handshake, to identify the remote member
)

// helloResult is the result of checking a hello.
type helloResult uint8

const (
	helloAccepted helloResult = iota + 1
	helloWrongGroup
	helloWrongMember
)

// handshakeBytes is the maximum payload size of a handshake frame.
const handshakeBytes = 64

// hello identifies the group, the sender and the member that the sender expects at the
// address.
type hello struct {
	group    uint64
	sender   raft.MemberID
	receiver raft.MemberID
	channel  channel
}

func (h hello) encode() []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(h.group)
	encoder.Uint64(uint64(h.sender))
	encoder.Uint64(uint64(h.receiver))
	encoder.Uint8(uint8(h.channel))
	return encoder.Data()
}

func decodeHello(data []byte) (hello, error) {
	decoder := frame.NewDecoder(data)
	h := hello{
		group:    decoder.Uint64(),
		sender:   raft.MemberID(decoder.Uint64()),
		receiver: raft.MemberID(decoder.Uint64()),
		channel:  channel(decoder.Uint8()),
	}
	if err := decoder.Finish(); err != nil {
		return hello{}, errors.Wrap(ErrHandshake, err.Error())
	}
	if h.channel < channelMessages || h.channel > channelProbe {
		return hello{}, errors.Wrapf(ErrHandshake, "hello with unknown channel %d", h.channel)
	}
	return h, nil
}

// welcome is the reply to a hello. It identifies the replying member even if it is a
// refusal.
type welcome struct {
	result      helloResult
	group       uint64
	member      raft.MemberID
	initialized bool
}

func (w welcome) encode() []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint8(uint8(w.result))
	encoder.Uint64(w.group)
	encoder.Uint64(uint64(w.member))
	encoder.Bool(w.initialized)
	return encoder.Data()
}

func decodeWelcome(data []byte) (welcome, error) {
	decoder := frame.NewDecoder(data)
	w := welcome{
		result:      helloResult(decoder.Uint8()),
		group:       decoder.Uint64(),
		member:      raft.MemberID(decoder.Uint64()),
		initialized: decoder.Bool(),
	}
	if err := decoder.Finish(); err != nil {
		return welcome{}, errors.Wrap(ErrHandshake, err.Error())
	}
	return w, nil
}

// err returns the error for a refusal, or nil.
func (w welcome) err() error {
	switch w.result {
	case helloAccepted:
		return nil
	case helloWrongGroup:
		return errors.Wrapf(ErrWrongGroup, "group %x", w.group)
	case helloWrongMember:
		return errors.Wrapf(ErrWrongMember, "member %x", w.member)
	}
	return errors.Wrapf(ErrHandshake, "welcome with unknown result %d", w.result)
}

// checkHello checks the group, the receiver and the sender of a hello. A probe is accepted
// for any receiver of the group.
func (t *Transport) checkHello(h hello) helloResult {
	if h.group != t.config.Group {
		return helloWrongGroup
	}
	if h.channel == channelProbe {
		return helloAccepted
	}
	if h.receiver != t.config.ID || h.sender == t.config.ID || h.sender == raft.None {
		return helloWrongMember
	}
	return helloAccepted
}
