package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/apikey"
	"github.com/landingtrail/landingtrail/version/compress"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/pkg/errors"
)

// Errors returned by Access.
var (
	// ErrUnavailable means that the group definitely did not accept the request. It may be retried,
	// which succeeds unless the cause is permanent, such as a document that cannot be decompressed.
	ErrUnavailable = errors.New("control: the group does not take the request now")
	// ErrOutcomeUnknown means that the request may have been carried out or may still be.
	ErrOutcomeUnknown = errors.New("control: the outcome is unknown")
)

// Extension runs alongside a member until its context ends.
type Extension func(ctx context.Context, group *Access)

// Access gives an Extension access to the group. Every member accepts all calls; a call that needs
// the leader is forwarded to it at most once.
type Access struct{ member *member }

// ReplaceIngress commits the spec and returns the result. Errors are ErrUnavailable,
// ErrOutcomeUnknown, and an error without either cause if the leader's response cannot be decoded.
func (a *Access) ReplaceIngress(ctx context.Context, spec api.IngressSpec) (api.ReplaceResult, error) {
	current := a.member.group.Load()
	if current.Leadership().Leads {
		return current.replaceIngress(ctx, spec)
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return api.ReplaceResult{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	var result api.ReplaceResult
	err = a.callLeader(ctx, http.MethodPost, operatorapi.PathIngress, body, &result)
	return result, err
}

// Ingress returns the latest accepted Ingress, or nil if there is none. It fails with
// ErrUnavailable if the leader cannot confirm its lease, without which a newer Ingress may exist.
func (a *Access) Ingress(ctx context.Context) (*api.Ingress, error) {
	current := a.member.group.Load()
	if current.Leadership().Leads {
		if _, valid := current.Lease(ctx); !valid {
			return nil, errors.Wrap(ErrUnavailable, "the leader lease is not valid")
		}
		return current.machine.ingress()
	}
	var list operatorapi.ObjectList
	if err := a.callLeader(ctx, http.MethodGet, operatorapi.PathIngress, nil, &list); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	for _, object := range list.Objects {
		if object.Ingress != nil {
			return object.Ingress, nil
		}
	}
	return nil, nil
}

// maxSourceBytes bounds the decompressed document that an Ingress was built from.
const maxSourceBytes = 64 << 20

// ingress returns the Ingress with its original document, or nil if there is none.
func (m *machine) ingress() (*api.Ingress, error) {
	var held *api.Ingress
	var packed []byte
	m.read(func(machine *state.Machine) {
		held, packed = machine.View().Ingresses[api.IngressName], machine.IngressSource()
	})
	if held == nil {
		return nil, nil
	}
	source, err := compress.Unpack(packed, maxSourceBytes)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	unpacked := *held
	unpacked.Spec.Source = source
	return &unpacked, nil
}

// Proxies returns the proxies that accept requests, as known to this member. It contacts no other
// member, so the result may be stale.
func (a *Access) Proxies() map[string]*api.Proxy { return a.member.machine.view().Proxies }

// callLeader forwards a call to the leader and decodes the result of status 200 or 422. It fails
// with ErrUnavailable if no leader is known, if no connection was established, and on status 503,
// and with ErrOutcomeUnknown on other statuses and if the response is lost.
func (a *Access) callLeader(ctx context.Context, method, path string, body []byte, answer any) error {
	address := a.leaderAddress()
	if address == "" {
		return errors.Wrap(ErrUnavailable, "no leader is known")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(operatorapi.HeaderForwarded, a.member.config.Name)
	response, err := a.member.operator.forwarding.Do(request)
	if err != nil {
		return forwardError(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxForwardedResponseBytes))
	if err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusUnprocessableEntity:
		return errors.Wrap(json.Unmarshal(data, answer), "control: the leader's answer")
	case http.StatusServiceUnavailable:
		return errors.Wrapf(ErrUnavailable, "%s", data)
	default:
		return errors.Wrapf(ErrOutcomeUnknown, "status %d: %s", response.StatusCode, data)
	}
}

func (a *Access) leaderAddress() string {
	leader := a.member.replica.Status().Leader
	if leader == raft.None || leader == a.member.id {
		return ""
	}
	member, _ := a.member.addresses.find(leader)
	return member.OperatorAddress
}

// forwardError distinguishes a call that was never sent from one that may have been.
func forwardError(err error) error {
	if isDialError(err) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}

// replaceIngress commits the spec if it is valid and the group tolerates the configured number of
// losses: data acknowledged by a smaller group would not survive them. It logs IngressRefused for
// an invalid spec and IngressNotTaken for a valid one that was not committed.
func (g *group) replaceIngress(ctx context.Context, spec api.IngressSpec) (api.ReplaceResult, error) {
	if faults := api.ValidateIngress(&spec); len(faults) > 0 {
		event.IngressRefused.Log(g.logger, "generation", spec.Generation, "faults", len(faults), "first", faults[0].Field+" "+faults[0].Message)
		return api.ReplaceResult{Code: api.ReplaceInvalid, Faults: faults}, nil
	}
	if status := g.replica.Status(); !g.toleratesLosses(status) {
		event.IngressNotTaken.Log(g.logger, "generation", spec.Generation, "voters", len(status.Configuration.Voters), "err", "too few voters")
		return api.ReplaceResult{}, errors.Wrap(ErrUnavailable, "the group is not complete yet")
	}
	replacement := g.replicatedSpec(spec)
	value, err := g.propose(ctx, state.Command{Kind: state.CommandReplaceIngress, ReplaceIngress: &replacement})
	if err != nil {
		event.IngressNotTaken.Log(g.logger, "generation", spec.Generation, "err", err)
		if definitelyNotProposed(err) {
			return api.ReplaceResult{}, errors.Wrap(ErrUnavailable, err.Error())
		}
		return api.ReplaceResult{}, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	result := value.(api.ReplaceResult)
	event.IngressReplaced.Log(g.logger, "generation", spec.Generation, "outcome", result.Code, "held", result.Generation)
	return result, nil
}

// replicatedSpec returns the spec in its replicated form: API keys are replaced by digests, and the
// document is compressed. The document, which no proxy receives, still contains the keys in plain
// text.
func (g *group) replicatedSpec(spec api.IngressSpec) state.ReplaceIngress {
	secret := apikey.NewSecret()
	if held := g.machine.view().Ingresses[api.IngressName]; held != nil {
		secret = held.Spec.KeySecret
	}
	tenants := apikey.Seal(secret, spec.Tenants)
	spec.KeySecret, spec.Tenants = secret, nil
	spec.Source = compress.Pack(spec.Source)
	return state.ReplaceIngress{Spec: spec, Tenants: tenants}
}

// toleratesLosses reports whether every quorum of the group is larger than the number of losses
// that must be tolerated.
func (g *group) toleratesLosses(status raft.Status) bool {
	quorum := len(status.Configuration.Voters)/2 + 1
	return quorum > g.config.ToleratedLosses
}

// requiredVoters returns the number of voters that the group needs to continue after the losses
// that must be tolerated.
func (g *group) requiredVoters() int { return 2*g.config.ToleratedLosses + 1 }

// readIngress serves the operator API's request on the leader. Only this response contains the
// document with its API keys, since operators must read it back as they sent it.
func (s *operatorServer) readIngress(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.withLease(w, r, func(current *group, term uint64) {
		held, err := current.machine.ingress()
		if err != nil {
			writeNoQuorum(w, err.Error(), "")
			return
		}
		var objects []api.Object
		if held != nil {
			objects = append(objects, api.Object{Ingress: held})
		}
		writeObjects(w, current.machine.view(), term, objects)
	})
}

// replaceIngress serves the operator API's request on the leader.
func (s *operatorServer) replaceIngress(w http.ResponseWriter, r *http.Request, body []byte) {
	var spec api.IngressSpec
	if fault := decodeBody(body, &spec); fault != nil {
		writeInvalidRequest(w, *fault)
		return
	}
	result, err := s.member.group.Load().replaceIngress(r.Context(), spec)
	switch {
	case err == nil && result.Code == api.ReplaceInvalid:
		writeJSON(w, http.StatusUnprocessableEntity, result)
	case err == nil:
		writeJSON(w, http.StatusOK, result)
	case errors.Is(err, ErrUnavailable):
		writeNoQuorum(w, err.Error(), "")
	default:
		writeOutcomeUnknown(w, "")
	}
}

// minZoneProxies is the minimum number of proxies in a caller's zone for the caller to be sent only
// to proxies of its zone.
const minZoneProxies = 2

// ProxyAddresses returns at most limit proxy addresses, as the proxies report them, for a caller in
// the zone: only those of its zone if there are at least minZoneProxies. Proxies are ordered by
// name, so that equal states give equal results. limit must not be negative.
func (a *Access) ProxyAddresses(zone string, limit int) []string {
	proxies := a.Proxies()
	var inZone, all []string
	for _, name := range slices.Sorted(maps.Keys(proxies)) {
		spec := &proxies[name].Spec
		all = append(all, spec.Address)
		if spec.Zone == zone {
			inZone = append(inZone, spec.Address)
		}
	}
	if len(inZone) >= minZoneProxies {
		all = inZone
	}
	return all[:min(limit, len(all))]
}
