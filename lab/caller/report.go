package caller

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/lab/trace"
)

// Bounds of the histograms, in microseconds.
const (
	histogramLowest  = 1
	histogramHighest = int64(time.Hour / time.Microsecond)
	histogramDigits  = 3
)

// Histogram counts durations; it can be merged and keeps its counts in JSON.
type Histogram struct {
	counts *hdrhistogram.Histogram // microseconds
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)}
}

// Record counts one duration; one beyond the bounds counts as the bound.
func (h *Histogram) Record(duration time.Duration) {
	value := min(max(duration.Microseconds(), histogramLowest), histogramHighest)
	_ = h.counts.RecordValue(value) // within the bounds
}

// Merge adds the counts of another histogram.
func (h *Histogram) Merge(other *Histogram) { h.counts.Merge(other.counts) }

// Count returns how many durations were recorded.
func (h *Histogram) Count() int64 { return h.counts.TotalCount() }

// Quantile returns the duration at a percentile from 0 to 100.
func (h *Histogram) Quantile(percentile float64) time.Duration {
	return time.Duration(h.counts.ValueAtQuantile(percentile)) * time.Microsecond
}

// histogramJSON is a histogram for readers and, encoded, for a later merge.
type histogramJSON struct {
	Count   int64   `json:"count"`
	P50     float64 `json:"p50_ms"`
	P90     float64 `json:"p90_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
	Encoded string  `json:"encoded"`
}

// MarshalJSON implements json.Marshaler.
func (h *Histogram) MarshalJSON() ([]byte, error) {
	encoded, err := h.counts.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, errors.Wrap(err, "encode histogram")
	}
	return json.Marshal(histogramJSON{
		Count:   h.Count(),
		P50:     milliseconds(h.Quantile(50)),
		P90:     milliseconds(h.Quantile(90)),
		P99:     milliseconds(h.Quantile(99)),
		Max:     milliseconds(h.Quantile(100)),
		Encoded: string(encoded),
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (h *Histogram) UnmarshalJSON(data []byte) error {
	var read histogramJSON
	if err := json.Unmarshal(data, &read); err != nil {
		return err
	}
	counts, err := hdrhistogram.Decode([]byte(read.Encoded))
	if err != nil {
		return errors.Wrap(err, "decode histogram")
	}
	h.counts = counts
	return nil
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// ClassReport is what became of the requests of one class. Every request that
// was sent has exactly one outcome.
type ClassReport struct {
	Offered             int64 `json:"offered"`
	NotSent             int64 `json:"not_sent"`
	Completed           int64 `json:"completed"`
	CompletedInDeadline int64 `json:"completed_in_deadline"`
	RefusedNotRun       int64 `json:"refused_not_run"`
	RefusedRetryAfter   int64 `json:"refused_retry_after"` // of RefusedNotRun, with Retry-After
	Rejected            int64 `json:"rejected"`
	Unknown             int64 `json:"unknown"`
	CutShort            int64 `json:"cut_short"`
	WrongAnswer         int64 `json:"wrong_answer"`
	GaveUp              int64 `json:"gave_up"`
	Interrupted         int64 `json:"interrupted"`
	Retries             int64 `json:"retries"`
	// UsefulTokens and UsefulPromptTokens are the output and prompt tokens of
	// the requests completed within their deadline.
	UsefulTokens       int64 `json:"useful_tokens"`
	UsefulPromptTokens int64 `json:"useful_prompt_tokens"`

	Latency    *Histogram `json:"latency"`     // of completed requests
	FirstToken *Histogram `json:"first_token"` // of streams
	InterToken *Histogram `json:"inter_token"`
}

func newClassReport() *ClassReport {
	return &ClassReport{Latency: NewHistogram(), FirstToken: NewHistogram(), InterToken: NewHistogram()}
}

// Merge adds what another player saw of the class.
func (r *ClassReport) Merge(other *ClassReport) {
	r.Offered += other.Offered
	r.NotSent += other.NotSent
	r.Completed += other.Completed
	r.CompletedInDeadline += other.CompletedInDeadline
	r.RefusedNotRun += other.RefusedNotRun
	r.RefusedRetryAfter += other.RefusedRetryAfter
	r.Rejected += other.Rejected
	r.Unknown += other.Unknown
	r.CutShort += other.CutShort
	r.WrongAnswer += other.WrongAnswer
	r.GaveUp += other.GaveUp
	r.Interrupted += other.Interrupted
	r.Retries += other.Retries
	r.UsefulTokens += other.UsefulTokens
	r.UsefulPromptTokens += other.UsefulPromptTokens
	r.Latency.Merge(other.Latency)
	r.FirstToken.Merge(other.FirstToken)
	r.InterToken.Merge(other.InterToken)
}

// Report is what one or more players saw.
type Report struct {
	Seconds float64                 `json:"seconds"` // of the longest player
	Classes map[string]*ClassReport `json:"classes"`
}

// Merge adds what another player saw at the same time.
func (r *Report) Merge(other Report) {
	r.Seconds = max(r.Seconds, other.Seconds)
	if r.Classes == nil {
		r.Classes = map[string]*ClassReport{}
	}
	for name, class := range other.Classes {
		if r.Classes[name] == nil {
			r.Classes[name] = newClassReport()
		}
		r.Classes[name].Merge(class)
	}
}

// Total returns the sum over all classes.
func (r *Report) Total() *ClassReport {
	total := newClassReport()
	for _, class := range r.Classes {
		total.Merge(class)
	}
	return total
}

// recorder collects outcomes, each class under its own lock.
type recorder struct {
	mu      sync.Mutex
	classes map[string]*classRecorder
}

func newRecorder() *recorder { return &recorder{classes: map[string]*classRecorder{}} }

// classRecorder collects the outcomes of one class.
type classRecorder struct {
	mu     sync.Mutex
	report *ClassReport
}

// classOf is a class's recorder with the item that an outcome is about.
type classOf struct {
	*classRecorder
	item *trace.Item
}

func (r *recorder) class(item *trace.Item) classOf {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.classes[item.Class]
	if found == nil {
		found = &classRecorder{report: newClassReport()}
		r.classes[item.Class] = found
	}
	return classOf{classRecorder: found, item: item}
}

func (r *recorder) finish(elapsed time.Duration) Report {
	report := Report{Seconds: elapsed.Seconds(), Classes: map[string]*ClassReport{}}
	for name, class := range r.classes {
		report.Classes[name] = class.report
	}
	return report
}

func (c classOf) addRetry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Retries++
}

// add counts one outcome.
func (c classOf) add(ended outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Offered++
	c.report.count(&ended, c.item)
	if ended.firstToken > 0 {
		c.report.FirstToken.Record(ended.firstToken)
	}
	for _, gap := range ended.gaps {
		c.report.InterToken.Record(gap)
	}
}

func (r *ClassReport) count(ended *outcome, item *trace.Item) {
	switch ended.kind {
	case OutcomeNotSent:
		r.NotSent++
	case OutcomeCompleted:
		r.complete(ended, item)
	case OutcomeRefused:
		r.RefusedNotRun++
		if ended.retryAfter > 0 {
			r.RefusedRetryAfter++
		}
	case OutcomeRejected:
		r.Rejected++
	case OutcomeUnknown:
		r.Unknown++
	case OutcomeCutShort:
		r.CutShort++
	case OutcomeWrong:
		r.WrongAnswer++
	case OutcomeGaveUp:
		r.GaveUp++
	case OutcomeInterrupted:
		r.Interrupted++
	}
}

func (r *ClassReport) complete(ended *outcome, item *trace.Item) {
	r.Completed++
	r.Latency.Record(ended.latency)
	if ended.latency > item.Deadline {
		return
	}
	r.CompletedInDeadline++
	r.UsefulTokens += int64(item.OutputTokens)
	r.UsefulPromptTokens += int64(item.PromptTokens)
}
