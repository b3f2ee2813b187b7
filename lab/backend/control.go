package backend

import (
	"net/http"
	"strconv"

	"github.com/landingtrail/landingtrail/lab/platform"
	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
)

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := Load{
		Backend: s.config.Name,
		State:   string(platform.StateLive),
		Running: s.running,
		Waiting: s.waiting,
		Served:  s.served,
	}
	if !s.leavingSince.IsZero() {
		load.State = stateLeaving
	}
	s.mu.Unlock()
	labhttp.Write(w, http.StatusOK, load)
}

func (s *Server) getLedger(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if given := r.URL.Query().Get("after"); given != "" {
		number, err := strconv.ParseUint(given, 10, 64)
		if err != nil {
			writeFault(w, labhttp.FieldError("after", "want a number"))
			return
		}
		after = number
	}
	labhttp.Write(w, http.StatusOK, s.ledger.After(after))
}

func (s *Server) postLeave(w http.ResponseWriter, r *http.Request) {
	var request LeaveRequest
	if fault := labhttp.Decode(w, r, labhttp.DefaultBodyLimit, labhttp.RefuseUnknown, &request); fault != nil {
		writeFault(w, fault)
		return
	}
	s.setLeaving(request.Leaving)
	s.getLoad(w, r)
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if fault := labhttp.Decode(w, r, labhttp.DefaultBodyLimit, labhttp.RefuseUnknown, &request); fault != nil {
		writeFault(w, fault)
		return
	}
	if request.DelayMilliseconds < 0 {
		writeFault(w, labhttp.FieldError("delayMilliseconds", "must not be negative"))
		return
	}
	s.count(func() { s.fault = request })
	s.getLoad(w, r)
}

func writeFault(w http.ResponseWriter, fault *labhttp.BodyError) {
	http.Error(w, fault.Error(), fault.Status)
}
