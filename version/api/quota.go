package api

import (
	"fmt"
	"math"
)

// QuotaUnit is what a quota counts.
type QuotaUnit string

// Units of quotas.
const (
	QuotaRequests QuotaUnit = "requests"
	// QuotaTokens counts the tokens of a request, those that it brings and those that may
	// come out.
	QuotaTokens QuotaUnit = "tokens"
)

// Quota bounds what a tenant may have run, by all proxies together: the rate, and a burst
// that is saved up while less is used. The zero Quota bounds nothing.
type Quota struct {
	Unit      QuotaUnit `json:"unit,omitempty" yaml:"unit,omitempty"`
	PerSecond float64   `json:"perSecond,omitempty" yaml:"perSecond,omitempty"` // units
	Burst     float64   `json:"burst,omitempty" yaml:"burst,omitempty"`         // units
	// PlainTokens is what a request counts that does not tell its tokens.
	PlainTokens float64 `json:"plainTokens,omitempty" yaml:"plainTokens,omitempty"`
}

// IsBounded reports whether there is a limit.
func (q Quota) IsBounded() bool { return q.PerSecond > 0 }

// Cost is what a request of so many tokens counts, in the quota's unit.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case q.Unit != QuotaTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.PlainTokens
}

// faults returns what is wrong with each field, by its name.
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
