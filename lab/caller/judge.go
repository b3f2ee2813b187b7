package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/backend"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
)

const (
	answerLimit = 16 << 20 // bytes of one answer
	lineLimit   = 1 << 20  // bytes of one line of a stream
)

// Outcome says how a request ended for its caller.
type Outcome string

// Outcomes of a request.
const (
	OutcomeNotSent     Outcome = "not_sent"    // the player had no free place
	OutcomeCompleted   Outcome = "completed"   // the whole answer to its own request
	OutcomeRefused     Outcome = "refused"     // told "not run"
	OutcomeRejected    Outcome = "rejected"    // told "not run", and that the request is at fault
	OutcomeUnknown     Outcome = "unknown"     // no answer, or told that it may have run
	OutcomeCutShort    Outcome = "cut_short"   // the answer stopped before its end
	OutcomeWrong       Outcome = "wrong"       // another answer, or a part that claims to be whole
	OutcomeGaveUp      Outcome = "gave_up"     // no end within the deadline, or none at all within the caller's patience
	OutcomeInterrupted Outcome = "interrupted" // the player was stopped
)

// outcome is how one request ended and what was measured on the way.
type outcome struct {
	kind       Outcome
	latency    time.Duration // from the first send
	retryAfter time.Duration // 0 if the answer has none
	firstToken time.Duration // 0 if none came
	gaps       []time.Duration
	detail     string // what the answer, or its absence, said of a failure
	late       bool   // the answer says that the deadline has passed, or can only break for it
}

// codeDeadline is the code of an answer that the deadline ended.
const codeDeadline = "deadline_exceeded"

// judgeDeadline makes an answer that the deadline ended one that was given up,
// if the caller's own clock agrees. One that ended before is cut short.
func (o *outcome) judgeDeadline(passed bool) {
	if o.late && passed && (o.kind == OutcomeUnknown || o.kind == OutcomeCutShort) {
		o.kind = OutcomeGaveUp
	}
}

// final reports whether the outcome came from an answer, not from its absence.
func (o *outcome) final() bool {
	return o.kind != OutcomeUnknown && o.kind != OutcomeCutShort
}

// judgeError reads an answer that is not 200.
func judgeError(response *http.Response) outcome {
	ended := outcome{kind: OutcomeUnknown, retryAfter: retryAfter(response.Header), detail: response.Status}
	var body engineapi.ErrorBody
	if json.NewDecoder(io.LimitReader(response.Body, lineLimit)).Decode(&body) != nil {
		return ended
	}
	ended.late = body.Error.Code == codeDeadline
	ended.detail += ": " + body.Error.Code + ": " + body.Error.Message
	if body.Error.Ran != "no" {
		return ended
	}
	ended.kind = OutcomeRefused
	isCallersFault := response.StatusCode >= 400 && response.StatusCode < 500
	if isCallersFault && response.StatusCode != http.StatusTooManyRequests {
		ended.kind = OutcomeRejected
	}
	return ended
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// judgeBody checks the answer of a plain back end, which names the path that it
// was asked for with or without the proxy's prefix. A part of it followed by a broken
// connection is all that can tell that the deadline ended it: the status is out, and
// there are no events as in a stream. What came must be the request's own all the same.
func judgeBody(body io.Reader, call *call) outcome {
	content, err := io.ReadAll(io.LimitReader(body, answerLimit))
	holds := backend.IsWholeAndOwn
	ended := outcome{kind: OutcomeCompleted}
	if err != nil {
		holds = backend.IsOwnPart
		ended = outcome{kind: OutcomeCutShort, late: true, detail: "broke off after " + strconv.Itoa(len(content)) + " bytes: " + err.Error()}
	}
	if !holds(call.path, nil, string(content)) && !holds("/services/"+call.item.Service+call.path, nil, string(content)) {
		return outcome{kind: OutcomeWrong}
	}
	return ended
}

// streamEvent is the part of an event that the caller looks at.
type streamEvent struct {
	Choices []engineapi.Choice     `json:"choices"`
	Error   *engineapi.ErrorDetail `json:"error"`
}

// streamJudge reads one stream and compares it with what is expected.
type streamJudge struct {
	promptHash uint64
	expected   int // tokens
	received   int
	last       time.Time
	result     outcome
}

// judgeStream checks a streamed answer token by token.
func judgeStream(body io.Reader, call *call, sent time.Time) outcome {
	judge := &streamJudge{
		promptHash: enginemodel.PromptHash(call.prompt),
		expected:   call.item.OutputTokens,
		last:       sent,
	}
	lines := bufio.NewScanner(io.LimitReader(body, answerLimit))
	lines.Buffer(make([]byte, 0, 4<<10), lineLimit)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if isData && judge.event(data) {
			return judge.result
		}
	}
	judge.result.kind = OutcomeCutShort
	return judge.result
}

// event takes one event's data and reports whether the outcome is known.
func (j *streamJudge) event(data []byte) (done bool) {
	if string(data) == "[DONE]" {
		j.result.kind = OutcomeCompleted
		if j.received != j.expected {
			j.result.kind = OutcomeWrong
		}
		return true
	}
	var event streamEvent
	if json.Unmarshal(data, &event) != nil {
		j.result.kind = OutcomeWrong
		return true
	}
	if event.Error != nil {
		j.result.kind = OutcomeCutShort
		j.result.late = event.Error.Code == codeDeadline
		j.result.detail = event.Error.Code + ": " + event.Error.Message
		return true
	}
	for _, choice := range event.Choices {
		if choice.Delta != nil && !j.tokens(choice.Delta.Content) {
			j.result.kind = OutcomeWrong
			return true
		}
	}
	return false
}

// tokens compares the words of a delta with the next expected tokens.
func (j *streamJudge) tokens(content string) bool {
	for word := range bytes.FieldsSeq([]byte(content)) {
		if string(word) != enginemodel.TokenText(j.promptHash, j.received) {
			return false
		}
		j.received++
		j.measure()
	}
	return true
}

func (j *streamJudge) measure() {
	now := time.Now()
	gap := now.Sub(j.last)
	j.last = now
	if j.received == 1 {
		j.result.firstToken = gap
		return
	}
	j.result.gaps = append(j.result.gaps, gap)
}
