package engine

import (
	"net/http"
	"strconv"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
	"github.com/landingtrail/landingtrail/version/api"
)

// Paths of the lab beside the engine protocol.
const (
	PathLedger = "/lab/ledger" // GET ?after=SEQUENCE -> ledger.Page
	PathFault  = "/lab/fault"  // POST FaultRequest
	PathLeave  = "/lab/leave"  // POST LeaveRequest
)

// LeaveRequest says whether the engine's machine leaves.
type LeaveRequest struct {
	Leaving bool `json:"leaving"`
}

// CancelReply answers a cancel.
type CancelReply struct {
	Outcome enginemodel.CancelOutcome `json:"outcome"`
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	work := func(pattern string, handler http.HandlerFunc) { mux.Handle(pattern, s.faulty(faultWork, handler)) }
	work("POST "+engineapi.PathChatCompletions, s.postCompletions(true))
	work("POST "+engineapi.PathCompletions, s.postCompletions(false))
	work("POST "+engineapi.PathResume, s.postResume)
	work("POST "+engineapi.PathKVExport, s.postKVExport)
	work("POST "+engineapi.PathKVImport, s.postKVImport)

	control := func(pattern string, handler http.HandlerFunc) { mux.Handle(pattern, s.faulty(faultControl, handler)) }
	control("GET "+engineapi.PathModels, s.getModels)
	control("POST "+engineapi.PathCancel, s.postCancel)
	control("GET "+engineapi.PathState, s.getState)
	control("POST "+engineapi.PathOrders, s.postOrder)
	control("POST "+engineapi.PathVoid, s.postVoid)
	control("GET "+engineapi.PathLoad, s.getLoad)
	control("GET "+engineapi.PathCacheEvents, s.getCacheEvents)
	control("GET "+engineapi.PathKVBlocks, s.getKVBlocks)

	mux.HandleFunc("GET "+PathLedger, s.getLedger)
	mux.HandleFunc("POST "+PathFault, s.postFault)
	mux.HandleFunc("POST "+PathLeave, s.postLeave)
	return s.withIdentity(mux)
}

// withIdentity puts the incarnation, the phase and the name of the call on
// every answer.
func (s *Server) withIdentity(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.identify(w)
		engineapi.EchoCall(w.Header(), r.Header)
		next.ServeHTTP(w, r)
	})
}

func (s *Server) identify(w http.ResponseWriter) {
	state := s.state()
	w.Header().Set(engineapi.HeaderIncarnation, strconv.FormatUint(state.Incarnation, 10))
	w.Header().Set(engineapi.HeaderPhase, string(state.Phase))
}

func (s *Server) state() engineapi.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.State()
}

// decode reads a body and answers a fault of it.
func decode(w http.ResponseWriter, r *http.Request, fields labhttp.Fields, target any) bool {
	fault := labhttp.Decode(w, r, labhttp.DefaultBodyLimit, fields, target)
	if fault != nil {
		writeFault(w, fault)
	}
	return fault == nil
}

func writeFault(w http.ResponseWriter, fault *labhttp.BodyError) {
	writeError(w, fault.Status, engineapi.ErrorDetail{
		Message: fault.Error(),
		Type:    "invalid_request_error",
		Code:    "bad_request",
		Ran:     "no",
	})
}

// writeError answers with an error; one that ran "no" is marked as not admitted.
func writeError(w http.ResponseWriter, status int, detail engineapi.ErrorDetail) {
	if detail.Ran == "no" {
		w.Header().Set(engineapi.HeaderAdmitted, "no")
	}
	labhttp.Write(w, status, engineapi.ErrorBody{Error: detail})
}

// writeRefusal answers a request that was not admitted.
func (s *Server) writeRefusal(w http.ResponseWriter, refusal string) {
	s.identify(w)
	writeError(w, http.StatusServiceUnavailable, engineapi.ErrorDetail{
		Message: "not admitted: " + refusal,
		Type:    "unavailable",
		Code:    refusal,
		Ran:     "no",
	})
}

func (s *Server) getModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	type list struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	models := list{Object: "list", Data: []model{}}
	state := s.state()
	if state.Phase == api.PhaseServing {
		served := state.Assignment
		models.Data = append(models.Data, model{ID: served.Model, Object: "model"})
		for _, adapter := range served.Adapters {
			models.Data = append(models.Data, model{ID: served.Model + ":" + adapter, Object: "model"})
		}
	}
	labhttp.Write(w, http.StatusOK, models)
}

func (s *Server) postCancel(w http.ResponseWriter, r *http.Request) {
	var request engineapi.CancelRequest
	if !decode(w, r, labhttp.RefuseUnknown, &request) {
		return
	}
	if request.RequestID == "" {
		writeFault(w, labhttp.FieldError("requestId", "must not be empty"))
		return
	}
	labhttp.Write(w, http.StatusOK, CancelReply{Outcome: s.cancelRun(&request)})
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	labhttp.Write(w, http.StatusOK, s.state())
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := s.model.Load(s.now())
	s.mu.Unlock()
	labhttp.Write(w, http.StatusOK, load)
}

func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, fault := numberParameter(r, "after")
	if fault != nil {
		writeFault(w, fault)
		return
	}
	s.mu.Lock()
	events := s.model.CacheEvents(s.now(), after)
	s.mu.Unlock()
	labhttp.Write(w, http.StatusOK, events)
}

func (s *Server) getLedger(w http.ResponseWriter, r *http.Request) {
	after, fault := numberParameter(r, "after")
	if fault != nil {
		writeFault(w, fault)
		return
	}
	labhttp.Write(w, http.StatusOK, s.ledger.After(after))
}

func (s *Server) postLeave(w http.ResponseWriter, r *http.Request) {
	var request LeaveRequest
	if !decode(w, r, labhttp.RefuseUnknown, &request) {
		return
	}
	s.setLeaving(leaveOperator, request.Leaving)
	labhttp.Write(w, http.StatusOK, s.state())
}

// numberParameter reads a query parameter; one that is not given is 0.
func numberParameter(r *http.Request, name string) (uint64, *labhttp.BodyError) {
	given := r.URL.Query().Get(name)
	if given == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(given, 10, 64)
	if err != nil {
		return 0, labhttp.FieldError(name, "want a number")
	}
	return number, nil
}
