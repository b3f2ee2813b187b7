package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/trace"
)

// call is one item with everything that stays the same when it is sent again.
type call struct {
	item   *trace.Item
	path   string // on the back end, for plain requests
	prompt string
	body   []byte
}

// newCall makes the request of an item; unique tells apart items that are
// otherwise equal. A keyed item's body depends on its key alone, so that another
// player can send the same request.
func newCall(item *trace.Item, unique string) *call {
	if item.Key != "" {
		unique = item.Key
	}
	made := &call{item: item}
	if item.Model == "" {
		made.path = "/" + item.Class + "/" + unique
		return made
	}
	made.prompt = Prompt(item, unique)
	body, err := json.Marshal(engineapi.CompletionRequest{
		Model:     item.Model,
		Messages:  []engineapi.Message{{Role: "user", Content: made.prompt}},
		MaxTokens: item.OutputTokens,
		Stream:    true,
		User:      item.Tenant,
	})
	if err != nil {
		panic(err) // a type of ours that cannot be encoded
	}
	made.body = body
	return made
}

// hash identifies the request in the ledgers of engines and back ends.
func (c *call) hash() uint64 {
	if c.item.Model == "" {
		return enginemodel.PromptHash(c.path)
	}
	return enginemodel.PromptHash(c.prompt)
}

// Prompt returns a prompt of exactly item.PromptTokens words, of which the first
// item.PrefixTokens are the same for all items with the same prefix.
func Prompt(item *trace.Item, unique string) string {
	var text strings.Builder
	for i := range item.PromptTokens {
		if i > 0 {
			text.WriteByte(' ')
		}
		if i < item.PrefixTokens {
			text.WriteString("p" + strconv.FormatUint(item.Prefix, 36))
		} else {
			text.WriteString("u" + unique)
		}
		text.WriteString("." + strconv.Itoa(i))
	}
	return text.String()
}

// request returns the HTTP request with the time that is left.
func (c *call) request(ctx context.Context, proxy string, left time.Duration) (*http.Request, error) {
	method, path := http.MethodGet, "/services/"+c.item.Service+c.path
	var body io.Reader
	if c.item.Model != "" {
		method, path = http.MethodPost, engineapi.PathChatCompletions
		body = bytes.NewReader(c.body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+proxy+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "new request")
	}
	// Without GetBody the transport cannot send the body a second time by
	// itself, which an idempotency key would otherwise allow it to do.
	request.GetBody = nil
	c.setHeaders(request.Header, left)
	return request, nil
}

func (c *call) setHeaders(header http.Header, left time.Duration) {
	header.Set(headerClass, c.item.Class)
	header.Set(headerTenant, c.item.Tenant)
	header.Set(headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if c.item.Key != "" {
		header.Set(headerIdempotencyKey, c.item.Key)
	}
	if c.item.RepeatNever {
		header.Set(headerRepeat, "never")
	}
	if c.item.Model != "" {
		header.Set("Content-Type", "application/json")
		header.Set("Accept", "text/event-stream")
	}
}
