package campaign

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/version/api"
)

// engineHost is one engine's process around the engine model.
type engineHost struct {
	process
	zone    string
	model   *enginemodel.Engine
	wake    uint64 // the latest scheduled step; earlier ones do nothing
	leaving bool
	// leavingSince is when the platform began to take the machine away.
	leavingSince time.Duration
	starts       uint64
}

// stream is where a run's tokens go.
type stream struct {
	proxy   *proxyHost
	request *pendingRequest
	number  uint32
}

func newEngineHost(w *world, name, zone string) *engineHost {
	h := &engineHost{process: w.newProcess(name), zone: zone}
	h.boot()
	return h
}

func (h *engineHost) incarnation() uint64 { return h.model.Incarnation() }

func (h *engineHost) boot() {
	h.start()
	h.starts++
	config := enginemodel.DefaultConfig(h.name, h.world.random.Uint64()>>1+1)
	config.Seed = h.world.random.Uint64()
	config.WeightLoad = 4 * time.Second
	config.RoleChange = 2 * time.Second
	h.model = enginemodel.New(config)
	h.model.SetLeaving(h.world.now, h.leaving)
	h.step()
}

// step runs the model and carries its events to the proxies.
func (h *engineHost) step() {
	next, events := h.model.Step(h.world.now)
	for _, event := range events {
		h.carry(event)
	}
	h.wake++
	if next == enginemodel.Never {
		return
	}
	wake := h.wake
	h.after(next-h.world.now, func() {
		if h.wake == wake {
			h.step()
		}
	})
}

func (h *engineHost) carry(event enginemodel.Event) {
	switch event.Kind {
	case enginemodel.EventToken:
		to := event.Request.Context.(*stream)
		h.frame(to, frame{incarnation: h.incarnation(), offset: event.Offset, text: tokenOf(event.Request, event.Offset)})
	case enginemodel.EventFinished:
		to := event.Request.Context.(*stream)
		h.world.oracle.finishedRun(event.Request.Key)
		h.frame(to, frame{incarnation: h.incarnation(), offset: event.Request.OutputTokens, last: true})
	case enginemodel.EventCancelled:
		h.world.oracle.cancelledRun(event.Request.Key, event.Reason)
	}
}

func tokenOf(request *enginemodel.Request, offset int) string {
	return enginemodel.TokenText(request.PromptHash, offset)
}

// frame is one event of a stream.
type frame struct {
	incarnation uint64
	offset      int
	text        string
	last        bool
}

func (h *engineHost) frame(to *stream, f frame) {
	h.world.network.send(&h.process, &to.proxy.process, func() { to.proxy.frame(to.request, to.number, f) })
}

// order gives the model an order, and shows it to the oracle.
func (h *engineHost) order(order api.Order) engineapi.OrderReply {
	before := h.model.State()
	reply := h.model.Order(h.world.now, order)
	h.world.oracle.ordered(h, order, before, reply)
	h.step()
	return reply
}

func (h *engineHost) void(request engineapi.VoidRequest) engineapi.OrderReply {
	reply := h.model.Void(h.world.now, request)
	h.step()
	return reply
}

// admit takes a request in or refuses it.
func (h *engineHost) admit(request enginemodel.Request, from *proxyHost, pending *pendingRequest) enginemodel.Admission {
	if h.leaving {
		h.world.oracle.sentToLeaving(h)
	}
	admission := h.model.Admit(h.world.now, request)
	if admission.Admitted {
		h.world.oracle.admittedRun(request.Key, pending)
	}
	h.step()
	return admission
}

// resume attaches a proxy again to a run's stream and sends what it has from
// the offset on.
func (h *engineHost) resume(key enginemodel.RunKey, incarnation uint64, offset int, to *stream) bool {
	progress, refusal := h.model.Resume(key, incarnation, offset)
	if refusal != enginemodel.ResumeAllowed {
		return false
	}
	progress.Request.Context = to
	for i := offset; i < progress.Generated; i++ {
		h.frame(to, frame{incarnation: incarnation, offset: i, text: tokenOf(progress.Request, i)})
	}
	if progress.Finished {
		h.frame(to, frame{incarnation: incarnation, offset: progress.Generated, last: true})
	}
	return true
}

// crash ends the process; it comes back idle, as another incarnation.
func (h *engineHost) crash(down time.Duration) {
	h.kill()
	h.world.after(down, func() {
		if !h.up {
			h.boot()
		}
	})
}

func (h *engineHost) setLeaving(leaving bool) {
	h.leaving = leaving
	h.leavingSince = h.world.now
	if h.up {
		h.model.SetLeaving(h.world.now, leaving)
		h.step()
	}
}
