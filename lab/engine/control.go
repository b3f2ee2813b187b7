package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/platform"
	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
	"github.com/landingtrail/landingtrail/version/api"
)

const loadRetryInterval = 500 * time.Millisecond

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var order api.Order
	if !decode(w, r, labhttp.RefuseUnknown, &order) {
		return
	}
	s.mu.Lock()
	reply := s.model.Order(s.now(), order)
	s.ledger.Add(ledger.Entry{
		Event:       ledger.EventOrder,
		Incarnation: reply.State.Incarnation,
		Reason:      string(reply.Code),
		Fence:       &order.Fence,
		Assignment:  &order.Assignment,
	})
	s.wakeLoop()
	s.mu.Unlock()
	labhttp.Write(w, orderStatus(reply.Code), reply)
}

func (s *Server) postVoid(w http.ResponseWriter, r *http.Request) {
	var request engineapi.VoidRequest
	if !decode(w, r, labhttp.RefuseUnknown, &request) {
		return
	}
	s.mu.Lock()
	reply := s.model.Void(s.now(), request)
	s.ledger.Add(ledger.Entry{
		Event:       ledger.EventVoid,
		Incarnation: reply.State.Incarnation,
		Reason:      string(reply.Code),
		Fence:       &request.Fence,
	})
	s.wakeLoop()
	s.mu.Unlock()
	labhttp.Write(w, orderStatus(reply.Code), reply)
}

// orderStatus is 200 for every answer that follows the protocol, so that a
// reply's code is the one thing to look at, and 400 for an order that can never hold.
func orderStatus(code engineapi.OrderCode) int {
	if code == engineapi.OrderInvalid {
		return http.StatusBadRequest
	}
	return http.StatusOK
}

// pullWeights reads the wanted weights from the platform's store, again and
// again until it succeeds or the order is no longer open.
func (s *Server) pullWeights(load enginemodel.Load, incarnation uint64) {
	for s.context.Err() == nil && s.wants(&load, incarnation) {
		err := s.pullAll(&load)
		if err == nil {
			s.finishLoad(&load, incarnation)
			return
		}
		level.Warn(s.config.Logger).Log("msg", "weights not loaded", "err", err)
		select {
		case <-s.context.Done():
		case <-time.After(loadRetryInterval):
		}
	}
}

// wants reports whether the order that the weights are for is still open.
func (s *Server) wants(load *enginemodel.Load, incarnation uint64) bool {
	state := s.state()
	return state.Incarnation == incarnation && state.Order != nil && state.Order.Fence == load.Fence
}

func (s *Server) finishLoad(load *enginemodel.Load, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model.Incarnation() == incarnation {
		s.model.FinishLoad(s.now(), load.Fence)
		s.wakeLoop()
	}
}

func (s *Server) pullAll(load *enginemodel.Load) error {
	names := load.Adapters
	if load.Model != "" {
		names = append([]string{load.Model}, names...)
	}
	for _, name := range names {
		if err := s.pull(s.context, name, load.Version); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) pull(ctx context.Context, name, version string) error {
	path := strings.NewReplacer("{model}", url.PathEscape(name), "{version}", url.PathEscape(version)).Replace(platform.PathWeights)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.config.Platform+path, nil)
	if err != nil {
		return errors.Wrap(err, "weights request")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "get weights")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("get weights: status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Wrap(err, "read weights")
}
