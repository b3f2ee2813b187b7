package api

import (
	"fmt"
	"math"
)

// QuotaUnit is the unit that a quota counts.
type QuotaUnit string

// Units of quotas.
const (
	QuotaRequests QuotaUnit = "requests"
	// QuotaTokens counts the prompt tokens of a request and the output tokens that it may
	// generate.
	QuotaTokens QuotaUnit = "tokens"
)

// Quota limits a tenant's use across all proxies with a token bucket: it fills at
// PerSecond up to Burst. A Quota whose PerSecond is 0 sets no limit.
type Quota struct {
	Unit      QuotaUnit `json:"unit,omitempty" yaml:"unit,omitempty"`
	PerSecond float64   `json:"perSecond,omitempty" yaml:"perSecond,omitempty"` // in Unit; an empty Unit counts requests
	Burst     float64   `json:"burst,omitempty" yaml:"burst,omitempty"`         // in Unit
	// PlainTokens is the cost of a request whose number of tokens is unknown.
	PlainTokens float64 `json:"plainTokens,omitempty" yaml:"plainTokens,omitempty"`
}

// IsBounded reports whether there is a limit.
func (q Quota) IsBounded() bool { return q.PerSecond > 0 }

// Cost returns the cost of a request with the given number of tokens, in the quota's unit.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case q.Unit != QuotaTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.PlainTokens
}

// faults returns the validation errors of the quota, one per invalid field.
func (q Quota) faults() []FieldFault {
	var faults []FieldFault
	for _, amount := range []struct {
		field string
		value float64
	}{{"perSecond", q.PerSecond}, {"burst", q.Burst}, {"plainTokens", q.PlainTokens}} {
		if amount.value < 0 || math.IsNaN(amount.value) || math.IsInf(amount.value, 0) {
			faults = append(faults, FieldFault{Field: amount.field, Message: "must be a number that is not negative"})
		}
	}
	if q.Unit != "" && q.Unit != QuotaRequests && q.Unit != QuotaTokens {
		faults = append(faults, FieldFault{Field: "unit", Message: fmt.Sprintf("%q must be %s or %s", q.Unit, QuotaRequests, QuotaTokens)})
	}
	return faults
}
