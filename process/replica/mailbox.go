package replica

import (
	"sync"

	"github.com/landingtrail/landingtrail/process/raft"
)

// messageOverhead is about what a message or an entry takes besides its data.
const messageOverhead = 64

// mailbox holds what waits for the loop. It is bounded: requests beyond the bound
// are refused, messages are dropped.
type mailbox struct {
	maxRequests int
	maxMessages int
	maxBytes    int
	wake        chan struct{} // has room for one signal

	mutex    sync.Mutex
	closed   bool
	requests []*request
	messages []raft.Message
	bytes    int
}

func newMailbox(config Config) *mailbox {
	return &mailbox{
		maxRequests: config.QueuedProposals,
		maxMessages: config.QueuedMessages,
		maxBytes:    config.QueuedBytes,
		wake:        make(chan struct{}, 1),
	}
}

// putRequest returns ErrOverloaded or ErrStopped when the request is not queued.
func (m *mailbox) putRequest(q *request) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return ErrStopped
	}
	if len(m.requests) >= m.maxRequests {
		return ErrOverloaded
	}
	m.requests = append(m.requests, q)
	m.signal()
	return nil
}

// putMessage returns false when there is no room. A message larger than all the
// room is let in when nothing else waits.
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

// take returns and removes all that waits, in order of arrival.
func (m *mailbox) take() ([]raft.Message, []*request) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	messages, requests := m.messages, m.requests
	m.messages, m.requests, m.bytes = nil, nil, 0
	return messages, requests
}

// close refuses everything from now on and returns the requests that still wait.
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
