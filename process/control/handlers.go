package control

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"
)

// transact commits a transaction and responds with its result.
func (s *operatorServer) transact(w http.ResponseWriter, r *http.Request, body []byte) {
	var transaction api.Transaction
	if fault := decodeBody(body, &transaction); fault != nil {
		writeInvalidRequest(w, *fault)
		return
	}
	command := state.Command{Kind: state.CommandTransaction, Transaction: &transaction}
	result, err := s.member.group.Load().propose(r.Context(), command)
	if err != nil {
		writeProposalError(w, err)
		return
	}
	answer := result.(api.TransactionResult)
	s.member.metrics.transactions.WithLabelValues(string(answer.Code)).Inc()
	writeJSON(w, transactionStatus(answer.Code), answer)
}

func transactionStatus(code api.OutcomeCode) int {
	switch code {
	case api.OutcomeAccepted:
		return http.StatusOK
	case api.OutcomeRevisionConflict, api.OutcomeOperationConflict, api.OutcomeIntentConflict:
		return http.StatusConflict
	default:
		return http.StatusUnprocessableEntity
	}
}

// withLease checks the leader lease and then calls serve, which so reads everything that was
// committed before the request. Without a valid lease it responds with an error.
func (s *operatorServer) withLease(w http.ResponseWriter, r *http.Request, serve func(current *group, term uint64)) {
	current := s.member.group.Load()
	term, valid := current.Lease(r.Context())
	if !valid {
		writeNoQuorum(w, "the leader lease is not valid", "")
		return
	}
	serve(current, term)
}

func (s *operatorServer) listObjects(w http.ResponseWriter, r *http.Request, _ []byte) {
	kind := api.Kind(pathvar.Vars(r)["kind"])
	if !isKind(kind) {
		writeUnknownKind(w)
		return
	}
	s.withLease(w, r, func(current *group, term uint64) {
		currentView := current.machine.view()
		objects := currentView.List(kind)
		for i := range objects {
			objects[i] = withStatus(currentView, objects[i])
		}
		writeObjects(w, currentView, term, objects)
	})
}

func (s *operatorServer) getObject(w http.ResponseWriter, r *http.Request, _ []byte) {
	variables := pathvar.Vars(r)
	key := api.Key{Kind: api.Kind(variables["kind"]), Name: variables["name"]}
	if !isKind(key.Kind) {
		writeUnknownKind(w)
		return
	}
	s.withLease(w, r, func(current *group, term uint64) {
		currentView := current.machine.view()
		object, found := currentView.Object(key)
		if !found {
			writeError(w, http.StatusNotFound, operatorapi.Error{
				Code:    operatorapi.ErrorNotFound,
				Message: key.String() + " does not exist",
				Faults:  []api.FieldFault{{Field: "name", Message: key.String() + " does not exist"}},
			})
			return
		}
		writeObjects(w, currentView, term, []api.Object{withStatus(currentView, object)})
	})
}

func writeObjects(w http.ResponseWriter, currentView *view.View, term uint64, objects []api.Object) {
	writeJSON(w, http.StatusOK, operatorapi.ObjectList{Term: term, Revision: currentView.Version.Revision, Objects: objects})
}

func isKind(kind api.Kind) bool { return slices.Contains(api.Kinds, kind) }

func writeUnknownKind(w http.ResponseWriter) {
	message := fmt.Sprintf("must be one of %v", api.Kinds)
	writeError(w, http.StatusNotFound, operatorapi.Error{
		Code:    operatorapi.ErrorNotFound,
		Message: "kind " + message,
		Faults:  []api.FieldFault{{Field: "kind", Message: message}},
	})
}

// withStatus fills in the status of an intent, which is computed on reads.
func withStatus(currentView *view.View, object api.Object) api.Object {
	if object.Intent == nil {
		return object
	}
	intent := *object.Intent
	intent.Status = state.IntentStatus(currentView, object.Intent)
	return api.Object{Intent: &intent}
}

// inForce responds whether the revision is in force: whether every daemon has acknowledged it or
// lost its view lease, so that none uses an older revision.
func (s *operatorServer) inForce(w http.ResponseWriter, r *http.Request, _ []byte) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeInvalidRequest(w, api.FieldFault{Field: "revision", Message: "must be a number"})
		return
	}
	result, valid := s.member.feed.InForce(r.Context(), revision)
	if !valid {
		writeNoQuorum(w, "the leader lease is not valid", "")
		return
	}
	writeJSON(w, http.StatusOK, operatorapi.InForce{
		Revision:     revision,
		Done:         result.Done,
		Acknowledged: result.Acknowledged,
		Lapsed:       result.Lapsed,
		Waiting:      result.Waiting,
		Settling:     result.Settling,
	})
}

func (s *operatorServer) changeMembers(w http.ResponseWriter, r *http.Request, body []byte) {
	var request operatorapi.MemberRequest
	if fault := decodeBody(body, &request); fault != nil {
		writeInvalidRequest(w, *fault)
		return
	}
	err, known := s.changeMember(r, request)
	switch {
	case !known:
		writeInvalidRequest(w, api.FieldFault{Field: "action", Message: "must be add, promote, remove or leave"})
	case err == nil:
		current := s.member.group.Load()
		writeJSON(w, http.StatusOK, operatorapi.MemberReply{Members: memberList(current, current.replica.Status())})
	case err == errInvalidMember:
		writeInvalidRequest(w, api.FieldFault{Message: err.Error()})
	case errors.Is(err, errUnknownMember):
		writeError(w, http.StatusNotFound, operatorapi.Error{
			Code:    operatorapi.ErrorNotFound,
			Message: err.Error(),
			Faults:  []api.FieldFault{{Field: "id", Message: "must be the ID of a member"}},
		})
	case errors.Is(err, errRemovedMember):
		writeError(w, http.StatusConflict, operatorapi.Error{Code: operatorapi.ErrorRemoved, Message: err.Error()})
	case errors.Is(err, errMemberNeeded):
		writeError(w, http.StatusConflict, operatorapi.Error{Code: operatorapi.ErrorNeeded, Message: err.Error()})
	case isRefusedChange(err):
		writeError(w, http.StatusConflict, operatorapi.Error{Code: operatorapi.ErrorRefused, Message: err.Error()})
	default:
		writeProposalError(w, err)
	}
}

// changeMember performs the request and returns its error. known is false if the action is unknown.
func (s *operatorServer) changeMember(r *http.Request, request operatorapi.MemberRequest) (err error, known bool) {
	current := s.member.group.Load()
	member := state.Member{
		ID:              uint64(request.ID),
		Name:            request.Name,
		PeerAddress:     request.PeerAddress,
		FeedAddress:     request.FeedAddress,
		OperatorAddress: request.OperatorAddress,
	}
	switch request.Action {
	case operatorapi.MemberAdd:
		return current.addMember(r.Context(), member), true
	case operatorapi.MemberPromote:
		change := raft.ConfigurationChange{Kind: raft.ChangePromote, Member: raft.MemberID(request.ID)}
		return current.changeMembership(r.Context(), change), true
	case operatorapi.MemberRemove:
		return current.removeByID(r.Context(), raft.MemberID(request.ID)), true
	case operatorapi.MemberLeave:
		return current.leave(r.Context(), raft.MemberID(request.ID)), true
	default:
		return nil, false
	}
}
