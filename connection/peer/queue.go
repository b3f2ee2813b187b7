package peer

import (
	"sync"

	"github.com/landingtrail/landingtrail/process/raft"
)

// maxNotices is the maximum number of queued notices per connection.
const maxNotices = 64

// messageOverhead is the approximate size of a message without its entries, in bytes. An
// entry without its data counts as a quarter of it.
const messageOverhead = 128

// queue holds the outgoing messages and notices of one connection. Messages are limited by
// number and bytes. When the queue is full, the oldest are dropped, since the newest
// describe the sender's state best and Raft resends lost ones. The newest message is kept
// even if it is larger than maxBytes.
type queue struct {
	maxMessages int
	maxBytes    int
	wake        chan struct{} // buffered channel of capacity 1

	mutex    sync.Mutex
	messages []raft.Message
	bytes    int
	notices  [][]byte
}

func newQueue(maxMessages, maxBytes int) *queue {
	return &queue{maxMessages: maxMessages, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// put adds the message and returns the number of messages dropped to make room for it.
func (q *queue) put(message raft.Message) int {
	q.mutex.Lock()
	q.messages = append(q.messages, message)
	q.bytes += messageSize(message)
	dropped := 0
	for len(q.messages) > 1 && (len(q.messages) > q.maxMessages || q.bytes > q.maxBytes) {
		q.bytes -= messageSize(q.messages[0])
		q.messages[0] = raft.Message{}
		q.messages = q.messages[1:]
		dropped++
	}
	q.mutex.Unlock()
	q.wakeSender()
	return dropped
}

// putNotice adds a notice and drops the oldest one if there are too many. It returns the
// number of notices dropped.
func (q *queue) putNotice(payload []byte) (dropped int) {
	q.mutex.Lock()
	q.notices = append(q.notices, payload)
	if len(q.notices) > maxNotices {
		q.notices = q.notices[1:]
		dropped = 1
	}
	q.mutex.Unlock()
	q.wakeSender()
	return dropped
}

// takeNotices returns and removes all notices, oldest first.
func (q *queue) takeNotices() [][]byte {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	notices := q.notices
	q.notices = nil
	return notices
}

// wakeSender wakes the sender. Multiple calls coalesce.
func (q *queue) wakeSender() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// takeMessages returns and removes all messages, oldest first.
func (q *queue) takeMessages() []raft.Message {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	messages := q.messages
	q.messages, q.bytes = nil, 0
	return messages
}

// messageSize returns the approximate size of a message in bytes.
func messageSize(message raft.Message) int {
	size := messageOverhead
	for _, entry := range message.Entries {
		size += len(entry.Data) + messageOverhead/4
	}
	if message.Snapshot != nil {
		size += len(message.Snapshot.Data)
	}
	return size
}

// wakeIfPending wakes the sender if anything is queued.
func (q *queue) wakeIfPending() {
	q.mutex.Lock()
	waiting := len(q.messages) > 0 || len(q.notices) > 0
	q.mutex.Unlock()
	if waiting {
		q.wakeSender()
	}
}
