// Package engineapi is the HTTP protocol of the model engines: paths, headers
// and bodies. It is the published protocol that the product speaks to engines
// and that the lab's stand-in serves.
package engineapi

import "github.com/landingtrail/landingtrail/version/api"

// Paths of an engine's HTTP server.
const (
	PathChatCompletions = "/v1/chat/completions" // POST; OpenAI body, SSE when "stream": true
	PathCompletions     = "/v1/completions"      // POST
	PathModels          = "/v1/models"           // GET
	PathResume          = "/v1/resume"           // POST ResumeRequest; SSE from the offset on
	PathCancel          = "/v1/cancel"           // POST CancelRequest
	PathState           = "/control/state"       // GET State
	PathOrders          = "/control/orders"      // POST api.Order -> OrderReply
	PathVoid            = "/control/void"        // POST VoidRequest -> OrderReply
	PathLoad            = "/load"                // GET Load, lagging
	PathCacheEvents     = "/cache/events"        // GET ?after=SEQUENCE -> CacheEvents
	PathKVExport        = "/kv/export"           // POST KVExportRequest -> KVHandle; runs the prompt
	PathKVImport        = "/kv/import"           // POST KVImportRequest; pulls from the peer engine
	PathKVBlocks        = "/kv/blocks"           // GET ?handle=H; engine to engine
)

// Headers on requests to an engine or a plain back end and on its answers.
//
// HeaderRequestID and HeaderAttempt name the call. Whoever gets them echoes
// them on the answer, whatever the path and the status, so that an answer can
// be told from that to another call on the same connection. A client closes the
// connection after an answer without them. A completion's name is also that of
// its run, and stands in every stream event; where a body names a run, the
// headers still name the call.
const (
	HeaderRequestID   = "Engine-Request-Id"
	HeaderAttempt     = "Engine-Attempt"     // not sent with calls that have no attempts
	HeaderPriority    = "Engine-Priority"    // integer; higher first
	HeaderDeadline    = "Engine-Deadline-Ms" // milliseconds left
	HeaderKVHandle    = "Engine-KV-Handle"   // decode from an imported prompt
	HeaderIncarnation = "Engine-Incarnation" // on every answer, decimal
	// HeaderAdmitted is "no" on an explicit refusal before admission: the
	// request was surely not run. It is "yes" once the request was admitted.
	HeaderAdmitted = "Engine-Admitted"
	// HeaderPhase is the engine's own phase (api.EnginePhase) at the time of
	// the answer; it reaches proxies before the platform's list does.
	HeaderPhase = "Engine-Phase"
	// HeaderBackendState is "leaving" on answers of a plain back end whose machine leaves.
	HeaderBackendState = "Backend-State"
)

// StreamEvent is the data of one server-sent event. The stream's terminal
// event is "data: [DONE]"; a stream that ends without it was cut short.
type StreamEvent struct {
	ID          string   `json:"id"` // the request ID
	Object      string   `json:"object"`
	Model       string   `json:"model"`
	Attempt     uint32   `json:"attempt"`
	Offset      int      `json:"offset"` // tokens before this event
	Incarnation uint64   `json:"incarnation,string"`
	Choices     []Choice `json:"choices"`
	Usage       *Usage   `json:"usage,omitempty"`
}

// Choice carries text of a completion (Text) or a chat (Delta or Message).
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// CompletionRequest is the part of an OpenAI request that routing needs. One
// word is one token for the stand-in.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	User      string    `json:"user,omitempty"`
}

// ResumeRequest asks the engine that ran a request to stream it again from
// Offset on; it is refused when the incarnation differs.
type ResumeRequest struct {
	RequestID   string `json:"requestId"`
	Attempt     uint32 `json:"attempt"`
	Offset      int    `json:"offset"`
	Incarnation uint64 `json:"incarnation,string"`
}

// CancelRequest ends a request's run.
type CancelRequest struct {
	RequestID string `json:"requestId"`
	Attempt   uint32 `json:"attempt"`
}

// State is an engine's own account of itself, never lagging.
type State struct {
	Engine      string          `json:"engine"`
	Incarnation uint64          `json:"incarnation,string"`
	Fence       api.Fence       `json:"fence"`
	Phase       api.EnginePhase `json:"phase"`
	Assignment  api.Assignment  `json:"assignment"`
	// Order is the order being carried out, if any.
	Order   *api.Order `json:"order,omitempty"`
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
}

// OrderCode is an engine's answer to an order.
type OrderCode string

// Answers to an order.
const (
	OrderAccepted         OrderCode = "accepted"
	OrderDone             OrderCode = "done" // a resend of an order that is done
	OrderStaleFence       OrderCode = "stale_fence"
	OrderOtherIncarnation OrderCode = "other_incarnation"
	OrderBusy             OrderCode = "busy" // another order is being carried out
	OrderVoid             OrderCode = "void" // voided at this or a higher fence
	OrderInvalid          OrderCode = "invalid"
)

// VoidRequest raises the engine's fence so that every order below it is void.
// The engine confirms with its state.
type VoidRequest struct {
	Fence       api.Fence `json:"fence"`
	Incarnation uint64    `json:"incarnation,string"`
}

// OrderReply answers an order or a void request.
type OrderReply struct {
	Code  OrderCode `json:"code"`
	State State     `json:"state"`
}

// Load is a lagging report of an engine's load.
type Load struct {
	Engine        string          `json:"engine"`
	Incarnation   uint64          `json:"incarnation,string"`
	Phase         api.EnginePhase `json:"phase"`
	Running       int             `json:"running"`
	Waiting       int             `json:"waiting"`
	WaitingTokens int             `json:"waitingTokens"` // prompt tokens not read yet
	KVUsed        float64         `json:"kvUsed"`        // share of KV memory
	// AgeMilliseconds is how old the report is, by the engine's own clock.
	AgeMilliseconds int64 `json:"ageMilliseconds"`
	// Totals since the incarnation started.
	PromptTokens int64 `json:"promptTokens"`
	OutputTokens int64 `json:"outputTokens"`
}

// CacheEvent says that a prefix block entered or left the prompt cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block,string"` // hash chain of the prompt up to the block's end
	Removed  bool   `json:"removed,omitempty"`
}

// CacheEvents is a page of events; Next may skip numbers (a gap).
type CacheEvents struct {
	Incarnation uint64       `json:"incarnation,string"`
	Events      []CacheEvent `json:"events"`
	// Snapshot is set when the reader asked with after=0: Blocks is the whole cache.
	Snapshot bool     `json:"snapshot,omitempty"`
	Blocks   []uint64 `json:"blocks,omitempty"`
	Next     uint64   `json:"next"`
}

// KVExportRequest runs a prompt on a prefill engine.
type KVExportRequest struct {
	RequestID string            `json:"requestId"`
	Attempt   uint32            `json:"attempt"`
	Request   CompletionRequest `json:"request"`
}

// KVHandle names exported KV cache.
type KVHandle struct {
	Handle      string `json:"handle"`
	Engine      string `json:"engine"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation,string"`
	Tokens      int    `json:"tokens"`
}

// KVImportRequest pulls exported KV cache from the peer engine.
type KVImportRequest struct {
	Handle KVHandle `json:"handle"`
}

// ErrorBody is the OpenAI error object with what is known of the run.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the inside of an ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Ran is "no", "unknown" or "yes".
	Ran string `json:"ran,omitempty"`
}
