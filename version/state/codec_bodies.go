package state

import (
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/binenc"
)

// The order and the types of the fields in the functions of this file are the format of
// the log and of snapshots.

func appendOpenOrder(b []byte, o *OpenOrder) []byte {
	b = binenc.AppendString(b, o.Engine)
	b = binenc.AppendFixed(b, o.Incarnation)
	b = binenc.AppendAssignment(b, o.Assignment)
	return binenc.AppendString(b, o.Reason)
}

func readOpenOrder(r *binenc.Reader) *OpenOrder {
	return &OpenOrder{
		Engine:      r.String(),
		Incarnation: r.Fixed(),
		Assignment:  r.Assignment(),
		Reason:      r.String(),
	}
}

func appendCloseOrder(b []byte, c *CloseOrder) []byte {
	b = binenc.AppendString(b, c.Engine)
	b = binenc.AppendFence(b, c.Fence)
	b = append(b, byte(c.Reason))
	return appendReport(b, &c.Report)
}

func readCloseOrder(r *binenc.Reader) *CloseOrder {
	return &CloseOrder{
		Engine: r.String(),
		Fence:  r.Fence(),
		Reason: CloseReason(r.Byte()),
		Report: *readReport(r),
	}
}

func appendReport(b []byte, report *EngineReport) []byte {
	b = binenc.AppendString(b, report.Engine)
	b = binenc.AppendFixed(b, report.Incarnation)
	b = binenc.AppendString(b, string(report.Phase))
	b = binenc.AppendAssignment(b, report.Assignment)
	return binenc.AppendFence(b, report.Fence)
}

func readReport(r *binenc.Reader) *EngineReport {
	return &EngineReport{
		Engine:      r.String(),
		Incarnation: r.Fixed(),
		Phase:       api.EnginePhase(r.String()),
		Assignment:  r.Assignment(),
		Fence:       r.Fence(),
	}
}

func appendClaimRequest(b []byte, c *ClaimRequest) []byte {
	b = binenc.AppendString(b, c.Tenant)
	b = binenc.AppendString(b, c.Key)
	b = binenc.AppendFixed(b, c.BodyHash)
	b = binenc.AppendUint(b, uint64(c.Attempt))
	b = binenc.AppendString(b, c.Proxy)
	b = binenc.AppendFixed(b, c.Nonce)
	return binenc.AppendInt(b, c.Retention)
}

func readClaimRequest(r *binenc.Reader) *ClaimRequest {
	return &ClaimRequest{
		Tenant:    r.String(),
		Key:       r.String(),
		BodyHash:  r.Fixed(),
		Attempt:   r.Uint32(),
		Proxy:     r.String(),
		Nonce:     r.Fixed(),
		Retention: r.Int(),
	}
}

func appendRunOutcome(b []byte, o *RunOutcome) []byte {
	b = binenc.AppendString(b, o.Tenant)
	b = binenc.AppendString(b, o.Key)
	b = binenc.AppendFixed(b, o.Nonce)
	b = binenc.AppendString(b, string(o.Outcome))
	return binenc.AppendBytes(b, o.Answer)
}

func readRunOutcome(r *binenc.Reader) *RunOutcome {
	return &RunOutcome{
		Tenant:  r.String(),
		Key:     r.String(),
		Nonce:   r.Fixed(),
		Outcome: api.RunOutcome(r.String()),
		Answer:  r.Bytes(),
	}
}

func appendMember(b []byte, m *Member) []byte {
	b = binenc.AppendUint(b, m.ID)
	b = binenc.AppendString(b, m.Name)
	b = binenc.AppendString(b, m.PeerAddress)
	b = binenc.AppendString(b, m.FeedAddress)
	b = binenc.AppendString(b, m.OperatorAddress)
	return binenc.AppendBool(b, m.Removed)
}

func readMember(r *binenc.Reader) *Member {
	return &Member{
		ID:              r.Uint(),
		Name:            r.String(),
		PeerAddress:     r.String(),
		FeedAddress:     r.String(),
		OperatorAddress: r.String(),
		Removed:         r.Bool(),
	}
}

func appendClaimRecord(b []byte, c *claimRecord) []byte {
	b = binenc.AppendString(b, c.Tenant)
	b = binenc.AppendString(b, c.Key)
	b = binenc.AppendFixed(b, c.BodyHash)
	b = binenc.AppendUint(b, uint64(c.Attempt))
	b = binenc.AppendString(b, c.Proxy)
	b = binenc.AppendString(b, string(c.Outcome))
	b = binenc.AppendBytes(b, c.Answer)
	b = binenc.AppendInt(b, c.GrantedAt)
	b = binenc.AppendUint(b, c.Revision)
	return binenc.AppendFixed(b, c.nonce)
}

func readClaimRecord(r *binenc.Reader) *claimRecord {
	return &claimRecord{
		Claim: api.Claim{
			Tenant:    r.String(),
			Key:       r.String(),
			BodyHash:  r.Fixed(),
			Attempt:   r.Uint32(),
			Proxy:     r.String(),
			Outcome:   api.RunOutcome(r.String()),
			Answer:    r.Bytes(),
			GrantedAt: r.Int(),
			Revision:  r.Uint(),
		},
		nonce: r.Fixed(),
	}
}

func appendResult(b []byte, result *api.TransactionResult) []byte {
	b = binenc.AppendString(b, string(result.Code))
	b = binenc.AppendUint(b, result.Revision)
	b = binenc.AppendUint(b, uint64(len(result.Conflicts)))
	for _, conflict := range result.Conflicts {
		b = binenc.AppendBool(b, conflict.Current != nil)
		if conflict.Current != nil {
			b = binenc.AppendObject(b, *conflict.Current)
		}
		b = binenc.AppendKey(b, conflict.Key)
		b = binenc.AppendStrings(b, conflict.Intents)
		b = binenc.AppendString(b, conflict.Engine)
	}
	b = binenc.AppendUint(b, uint64(len(result.Faults)))
	for _, fault := range result.Faults {
		b = binenc.AppendString(b, fault.Field)
		b = binenc.AppendString(b, fault.Message)
	}
	return binenc.AppendStrings(b, result.AffectedEngines)
}

func readResult(r *binenc.Reader) api.TransactionResult {
	result := api.TransactionResult{Code: api.OutcomeCode(r.String()), Revision: r.Uint()}
	const (
		minimumConflictBytes = 5
		minimumFaultBytes    = 2
	)
	conflicts := r.Count(minimumConflictBytes)
	for i := 0; i < conflicts && r.Err() == nil; i++ {
		var conflict api.Conflict
		if r.Bool() {
			current := r.Object()
			conflict.Current = &current
		}
		conflict.Key = r.Key()
		conflict.Intents = r.Strings()
		conflict.Engine = r.String()
		result.Conflicts = append(result.Conflicts, conflict)
	}
	faults := r.Count(minimumFaultBytes)
	for i := 0; i < faults && r.Err() == nil; i++ {
		result.Faults = append(result.Faults, api.FieldFault{Field: r.String(), Message: r.String()})
	}
	result.AffectedEngines = r.Strings()
	return result
}
