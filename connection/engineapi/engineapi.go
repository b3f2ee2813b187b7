// Package engineapi defines the HTTP protocol of the model engines: paths, headers
// and bodies. It is the published protocol used to talk to engines; the emulated
// engine in lab serves it as well.
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

// Headers on requests to an engine or a plain backend (one without the engine protocol) and
// on its responses.
//
// HeaderRequestID and HeaderAttempt identify the HTTP call, which is one HTTP request and its
// response. The receiver echoes them
// in its response, whatever the path and the status, so that the response can be
// told apart from those to other calls on the same connection. A client closes the
// connection after a response without them. For a completion they also identify its
// run, which is one attempt to execute it, and appear in every stream event; where a body identifies a run, the headers
// still identify the call.
const (
	HeaderRequestID   = "Engine-Request-Id"
	HeaderAttempt     = "Engine-Attempt"     // omitted on calls that have no attempts
	HeaderPriority    = "Engine-Priority"    // integer; higher first
	HeaderDeadline    = "Engine-Deadline-Ms" // milliseconds left until the request's deadline
	HeaderKVHandle    = "Engine-KV-Handle"   // decode from imported KV cache
	HeaderIncarnation = "Engine-Incarnation" // on every response, decimal; new at every engine start
	// HeaderAdmitted is "no" on an explicit refusal before admission, which
	// guarantees that the request did not run. It is "yes" once the request was
	// admitted.
	HeaderAdmitted = "Engine-Admitted"
	// HeaderPhase is the engine's own phase (api.EnginePhase) at the time of
	// the response; it reaches proxies before the platform's list of engines does.
	HeaderPhase = "Engine-Phase"
	// HeaderBackendState is "leaving" on responses of a plain backend whose
	// machine is being withdrawn.
	HeaderBackendState = "Backend-State"
)

// StreamEvent is the data of one server-sent event. The stream's terminal
// event is "data: [DONE]"; a stream that ends without it is incomplete.
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

// Choice carries the text of a completion (Text) or a chat (Delta or Message).
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

// CompletionRequest is the part of an OpenAI request that routing needs. The
// emulated engine counts each word as one token.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	User      string    `json:"user,omitempty"`
}

// ResumeRequest asks the engine that ran a request to stream its output again from
// Offset on; the engine refuses it if the incarnation differs.
type ResumeRequest struct {
	RequestID   string `json:"requestId"`
	Attempt     uint32 `json:"attempt"`
	Offset      int    `json:"offset"`
	Incarnation uint64 `json:"incarnation,string"`
}

// CancelRequest cancels the run of a request.
type CancelRequest struct {
	RequestID string `json:"requestId"`
	Attempt   uint32 `json:"attempt"`
}

// State is an engine's current state as the engine itself reports it, without delay.
type State struct {
	Engine      string          `json:"engine"`
	Incarnation uint64          `json:"incarnation,string"`
	Fence       api.Fence       `json:"fence"`
	Phase       api.EnginePhase `json:"phase"`
	Assignment  api.Assignment  `json:"assignment"`
	// Order is the order being executed, if any.
	Order   *api.Order `json:"order,omitempty"`
	Running int        `json:"running"` // requests
	Waiting int        `json:"waiting"` // requests
}

// OrderCode is the result code of an engine's reply to an order.
type OrderCode string

// Result codes of an order.
const (
	OrderAccepted         OrderCode = "accepted"
	OrderDone             OrderCode = "done"        // the order was resent and is already complete
	OrderStaleFence       OrderCode = "stale_fence" // the order's fence is not above the engine's
	OrderOtherIncarnation OrderCode = "other_incarnation"
	OrderBusy             OrderCode = "busy" // another order is being executed
	OrderVoid             OrderCode = "void" // voided at the order's fence or a higher one
	OrderInvalid          OrderCode = "invalid"
)

// VoidRequest raises the engine's fence. The engine then refuses every order whose
// fence is not above it, and confirms by returning its state.
type VoidRequest struct {
	Fence       api.Fence `json:"fence"`
	Incarnation uint64    `json:"incarnation,string"`
}

// OrderReply is the reply to an order or a void request.
type OrderReply struct {
	Code  OrderCode `json:"code"`
	State State     `json:"state"`
}

// Load is a report of an engine's load. It lags behind the actual load.
type Load struct {
	Engine        string          `json:"engine"`
	Incarnation   uint64          `json:"incarnation,string"`
	Phase         api.EnginePhase `json:"phase"`
	Running       int             `json:"running"`
	Waiting       int             `json:"waiting"`
	WaitingTokens int             `json:"waitingTokens"` // prompt tokens not processed yet
	KVUsed        float64         `json:"kvUsed"`        // fraction of KV memory in use
	// AgeMilliseconds is the age of the report by the engine's own clock.
	AgeMilliseconds int64 `json:"ageMilliseconds"`
	// Totals since the incarnation started.
	PromptTokens int64 `json:"promptTokens"`
	OutputTokens int64 `json:"outputTokens"`
}

// CacheEvent reports that a prefix block was added to or removed from the prompt cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block,string"` // chained hash of the prompt up to the end of the block
	Removed  bool   `json:"removed,omitempty"`
}

// CacheEvents is a page of events. Next is the value of after for the next page. The page
// without a snapshot has the sequence numbers from after+1 to Next; a missing one means that
// events were lost, and the client must request a snapshot.
type CacheEvents struct {
	Incarnation uint64       `json:"incarnation,string"`
	Events      []CacheEvent `json:"events"`
	// Snapshot is set when the client requested after=0; Blocks then lists the
	// whole cache.
	Snapshot bool     `json:"snapshot,omitempty"`
	Blocks   []uint64 `json:"blocks,omitempty"`
	Next     uint64   `json:"next"`
}

// KVExportRequest runs a prompt on a prefill engine, which exports the KV cache and returns
// a KVHandle.
type KVExportRequest struct {
	RequestID string            `json:"requestId"`
	Attempt   uint32            `json:"attempt"`
	Request   CompletionRequest `json:"request"`
}

// KVHandle identifies exported KV cache.
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

// ErrorBody is the OpenAI error object, extended by whether the request ran.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Ran tells whether the request ran: "no", "unknown" or "yes".
	Ran string `json:"ran,omitempty"`
}
