package control

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// retryAfterSeconds is the Retry-After value of responses sent without a quorum; an election takes
// about as long.
const retryAfterSeconds = 1

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "encoding failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // a failed write means that the caller is gone
}

func writeError(w http.ResponseWriter, status int, body operatorapi.Error) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	writeJSON(w, status, body)
}

// writeNoQuorum responds to a request that was definitely not accepted.
func writeNoQuorum(w http.ResponseWriter, message, leader string) {
	body := operatorapi.Error{Code: operatorapi.ErrorNoQuorum, Message: message, Leader: leader}
	writeError(w, http.StatusServiceUnavailable, body)
}

// writeOutcomeUnknown responds to a request that may have been accepted.
func writeOutcomeUnknown(w http.ResponseWriter, leader string) {
	writeError(w, http.StatusGatewayTimeout, operatorapi.Error{
		Code:    operatorapi.ErrorOutcomeUnknown,
		Message: "the outcome is unknown; send the same operation ID again",
		Leader:  leader,
	})
}

// writeProposalError responds to a request whose command failed.
func writeProposalError(w http.ResponseWriter, err error) {
	if definitelyNotProposed(err) {
		writeNoQuorum(w, err.Error(), "")
		return
	}
	writeOutcomeUnknown(w, "")
}

// decodeBody decodes strict JSON: it rejects unknown fields, wrong types and data after the value.
// The fault names the field where the decoder knows it.
func decodeBody(body []byte, target any) *api.FieldFault {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fieldFault(err)
	}
	if decoder.More() {
		return &api.FieldFault{Message: "more than one JSON value"}
	}
	return nil
}

const unknownFieldPrefix = `json: unknown field "`

func fieldFault(err error) *api.FieldFault {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &api.FieldFault{Field: wrongType.Field, Message: "a JSON " + wrongType.Value + " does not fit; want " + wrongType.Type.String()}
	}
	if name, found := strings.CutPrefix(err.Error(), unknownFieldPrefix); found {
		return &api.FieldFault{Field: strings.TrimSuffix(name, `"`), Message: "unknown field"}
	}
	return &api.FieldFault{Message: err.Error()}
}

// writeInvalidRequest responds to a request with an invalid body or query parameter.
func writeInvalidRequest(w http.ResponseWriter, fault api.FieldFault) {
	writeError(w, http.StatusBadRequest, operatorapi.Error{
		Code:    operatorapi.ErrorInvalidBody,
		Message: "the request is not valid: " + strings.TrimSpace(fault.Field+" "+fault.Message),
		Faults:  []api.FieldFault{fault},
	})
}
