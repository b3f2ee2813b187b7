package replica

import (
	"sync"

	"github.com/landingtrail/landingtrail/process/raft"
)

// messageOverhead is the approximate size in bytes of a message or an entry without its
// data.
const messageOverhead = 64

// mailbox is the bounded queue of requests and messages for the loop. If it is full,
// requests are rejected and messages are dropped.
type mailbox struct {
	maxRequests int
	maxMessages int
	maxBytes    int
	wake        chan struct{} // signals the loop that something was queued; buffered for one signal

	mutex    sync.Mutex
	closed   bool
	requests []*request
	messages []raft.Message
	bytes    int
}

func newMailbox(config Config) *mailbox {
	return &mailbox{
		maxRequests: config.QueuedRequests,
		maxMessages: config.QueuedMessages,
		maxBytes:    config.QueuedBytes,
		wake:        make(chan struct{}, 1),
	}
}

// putRequest queues the request, or returns ErrOverloaded or ErrStopped.
func (m *mailbox) putRequest(req *request) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return ErrStopped
	}
	if len(m.requests) >= m.maxRequests {
		return ErrOverloaded
	}
	m.requests = append(m.requests, req)
	m.signal()
	return nil
}

// putMessage queues the message, or returns false if the mailbox is full or closed. A
// message larger than maxBytes is accepted if no other message is queued.
func (m *mailbox) putMessage(message raft.Message) bool {
	size := messageSize(message)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	full := len(m.messages) >= m.maxMessages || (len(m.messages) > 0 && m.bytes+size > m.maxBytes)
	if m.closed || full {
		return false
	}
	m.messages = append(m.messages, message)
	m.bytes += size
	m.signal()
	return true
}

func (m *mailbox) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take removes and returns everything queued, in order of arrival.
func (m *mailbox) take() ([]raft.Message, []*request) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	messages, requests := m.messages, m.requests
	m.messages, m.requests, m.bytes = nil, nil, 0
	return messages, requests
}

// close makes the mailbox reject everything from now on and returns the requests that
// are still queued.
func (m *mailbox) close() []*request {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	requests := m.requests
	m.closed, m.requests, m.messages = true, nil, nil
	return requests
}

func messageSize(message raft.Message) int {
	size := messageOverhead
	for _, entry := range message.Entries {
		size += messageOverhead + len(entry.Data)
	}
	if message.Snapshot != nil {
		size += len(message.Snapshot.Data)
	}
	return size
}
