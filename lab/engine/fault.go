package engine

import (
	"net/http"
	"time"

	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
)

// FaultKind names a fault that the stand-in shows on demand.
type FaultKind string

// Kinds of faults. A new fault takes the place of the one before.
const (
	FaultNone FaultKind = "none"
	// FaultHang accepts connections and never answers; running work stands still.
	FaultHang FaultKind = "hang"
	// FaultSlow multiplies the duration of every iteration by Factor.
	FaultSlow FaultKind = "slow"
	// FaultCrash loses everything, breaks all connections for DownMilliseconds
	// and comes back, idle, as a new incarnation.
	FaultCrash FaultKind = "crash"
	// FaultRefuse refuses all new work explicitly.
	FaultRefuse FaultKind = "refuse"
	// FaultDropStream breaks a stream's connection before token Tokens, Count
	// times (0: always); the run itself goes on.
	FaultDropStream FaultKind = "drop_stream_after_tokens"
)

// FaultRequest asks for a fault.
type FaultRequest struct {
	Kind             FaultKind `json:"kind"`
	Factor           float64   `json:"factor,omitempty"`
	Tokens           int       `json:"tokens,omitempty"`
	Count            int       `json:"count,omitempty"`
	DownMilliseconds int64     `json:"downMilliseconds,omitempty"`
	// All makes FaultHang hold up the control paths as well.
	All bool `json:"all,omitempty"`
}

func (f *FaultRequest) check() *labhttp.BodyError {
	switch f.Kind {
	case FaultNone, FaultHang, FaultRefuse:
	case FaultSlow:
		if f.Factor <= 0 {
			return labhttp.FieldError("factor", "must be positive")
		}
	case FaultCrash:
		if f.DownMilliseconds < 0 {
			return labhttp.FieldError("downMilliseconds", "must not be negative")
		}
	case FaultDropStream:
		if f.Tokens < 0 || f.Count < 0 {
			return labhttp.FieldError("tokens", "tokens and count must not be negative")
		}
	default:
		return labhttp.FieldError("kind", "unknown fault")
	}
	return nil
}

// activeFault is the fault that holds now.
type activeFault struct {
	FaultRequest
	until   time.Duration // FaultCrash: when the engine is back
	dropped int
	changed chan struct{} // closed when another fault takes its place
}

// stalls reports whether the model stands still.
func (f *activeFault) stalls(now time.Duration) bool {
	return f.Kind == FaultHang || f.down(now)
}

func (f *activeFault) down(now time.Duration) bool { return f.Kind == FaultCrash && now < f.until }

// pathKind separates the paths that take work from the others.
type pathKind bool

const (
	faultWork    pathKind = true
	faultControl pathKind = false
)

// faulty shows the present fault in place of, or before, a handler's answer.
func (s *Server) faulty(kind pathKind, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if kind == faultWork {
			s.noteWork()
		}
		for {
			fault := s.currentFault()
			switch {
			case fault.down(s.now()):
				abort()
			case fault.Kind == FaultHang && (kind == faultWork || fault.All):
				select {
				case <-r.Context().Done():
					return
				case <-s.context.Done():
					abort()
				case <-fault.changed:
				}
				continue
			case fault.Kind == FaultRefuse && kind == faultWork:
				s.writeRefusal(w, string(FaultRefuse))
				return
			}
			next(w, r)
			return
		}
	})
}

func (s *Server) currentFault() activeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// dropsStream reports whether a stream breaks before token i.
func (s *Server) dropsStream(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Kind != FaultDropStream || i != s.fault.Tokens {
		return false
	}
	if s.fault.Count > 0 && s.fault.dropped >= s.fault.Count {
		return false
	}
	s.fault.dropped++
	return true
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if !decode(w, r, labhttp.RefuseUnknown, &request) {
		return
	}
	if fault := request.check(); fault != nil {
		writeFault(w, fault)
		return
	}
	s.setFault(request)
	labhttp.Write(w, http.StatusOK, s.state())
}

func (s *Server) setFault(request FaultRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.changed != nil {
		close(s.fault.changed)
	}
	s.fault = activeFault{FaultRequest: request, changed: make(chan struct{})}
	s.model.SetSlowdown(1)
	switch request.Kind {
	case FaultSlow:
		s.model.SetSlowdown(request.Factor)
	case FaultCrash:
		s.crash(time.Duration(request.DownMilliseconds) * time.Millisecond)
	}
	s.wakeLoop()
}

// crash starts a new incarnation. The caller holds mu.
func (s *Server) crash(down time.Duration) {
	s.fault.until = s.now() + down
	for _, lost := range s.runs {
		s.endRun(lost, runBroken, ledger.EventCrashed, "")
	}
	s.model.Crash(s.now(), drawIncarnation())
	s.model.SetLeaving(s.now(), len(s.leaving) > 0)
	s.recordPhase()
}
