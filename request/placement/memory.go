package placement

import "time"

// The bound by KV memory. A replica that holds more KV tokens than its memory has ends, with every
// request on it. Each request in flight is therefore counted on its generator, from its placement to
// its end, with its prompt and its expected output, and on its reader with its prompt, from its
// placement until it has been handed over, which its first token shows. The counts are kept always;
// requests are kept off replicas by them only if limitsMemory.

const (
	// kvBlockTokens is the size of the blocks in which replicas allocate KV memory.
	kvBlockTokens = 16
	// memoryRetryInterval is the wait of a request while no generator has memory for it.
	memoryRetryInterval = 50 * time.Millisecond
	// memoryRetryAfter is when a caller may return that was refused for want of memory: about the time
	// that the requests which hold it need to end, each of which takes a few hundred milliseconds.
	memoryRetryAfter = 400 * time.Millisecond
)

// limitsMemory reports whether requests are placed by the KV memory of the replicas.
func (b *Board) limitsMemory() bool {
	return b.parameters.KVTokens >= kvBlockTokens && b.ReportsSlowness()
}

// kvBlocks returns the number of blocks that hold the tokens, at least one: a request whose size is
// unknown holds something too.
func kvBlocks(tokens int) int64 {
	return (int64(max(tokens, 1)) + kvBlockTokens - 1) / kvBlockTokens
}

// blocksOn returns the number of blocks that a request holds on a replica of the role.
func (a *Request) blocksOn(role Role) int64 {
	if role == RolePrefill {
		return kvBlocks(a.PromptTokens)
	}
	return kvBlocks(max(a.PromptTokens, 0) + max(a.MaxOutputTokens, 0))
}

// heldMemory is the memory that one request in flight holds: its blocks on its generator and, until its
// prompt has been handed over, on its reader.
type heldMemory struct {
	reader                        *replica
	generatorBlocks, readerBlocks int64
}

// holdMemory counts the memory of a request that has been placed. It does so on its reader only if its
// prompt has not been handed over.
func (p *placedRequest) holdMemory(reader *replica) {
	p.memory = heldMemory{generatorBlocks: p.request.blocksOn(RoleDecode)}
	p.runningOn.heldBlocks += p.memory.generatorBlocks
	if reader != nil && reader != p.runningOn && !p.started {
		p.memory.reader, p.memory.readerBlocks = reader, p.request.blocksOn(RolePrefill)
		reader.heldBlocks += p.memory.readerBlocks
	}
}

// releaseReaderMemory records that the reader no longer holds the prompt.
func (p *placedRequest) releaseReaderMemory() {
	if p.memory.reader != nil {
		p.memory.reader.heldBlocks -= p.memory.readerBlocks
	}
	p.memory.reader, p.memory.readerBlocks = nil, 0
}

// releaseMemory records that the request has ended.
func (p *placedRequest) releaseMemory() {
	p.releaseReaderMemory()
	p.runningOn.heldBlocks -= p.memory.generatorBlocks
	p.memory.generatorBlocks = 0
}

// hasMemoryFor reports whether the requests on the replica leave memory for one more. A request that
// needs more than all of the memory goes to a replica that holds nothing: its output may be shorter than
// it may become, and if its prompt alone is too long the replica's answer says so to its caller.
func (b *Board) hasMemoryFor(r *replica, request *Request) bool {
	if !b.limitsMemory() {
		return true
	}
	return r.heldBlocks == 0 || r.heldBlocks+request.blocksOn(r.Role) <= b.parameters.KVTokens/kvBlockTokens
}

// answerWithoutMemory returns the reply to a request that no generator has memory for, though one could
// take it otherwise; false if memory is not the reason. The request waits as long as it can meet its
// objective, or, if it continues a stream or has no objective, as long as half of its time is left, and
// is then refused.
func (b *Board) answerWithoutMemory(now time.Duration, request *Request) (Answer, bool) {
	if !b.limitsMemory() || !b.isMemoryShort(now, request) {
		return Answer{}, false
	}
	mayWait := request.Age+memoryRetryInterval < fraction(request.Objective, objectiveShare)
	if request.Continued || request.Objective <= 0 {
		mayWait = request.Deadline > request.Age
	}
	if mayWait && request.Deadline > memoryRetryInterval {
		return Answer{Wait: memoryRetryInterval}, true
	}
	return Answer{Refused: true, RetryAfter: memoryRetryAfter}, true
}

// isMemoryShort reports whether memory alone keeps the request off a generator. It examines all
// replicas, as generators does, and is called only if none was chosen.
func (b *Board) isMemoryShort(now time.Duration, request *Request) bool {
	for _, name := range b.names {
		known := b.replicas[name]
		if known.Role == RoleDecode && b.isUsableWithMemory(now, known, request) && !b.hasMemoryFor(known, request) {
			return true
		}
	}
	return false
}
