package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
)

func TestMain(m *testing.M) {
	logx.Disable()
	m.Run()
}

// group is a stand-in for the control group: it holds one engine and answers
// transactions by a script.
type group struct {
	server *httptest.Server
	mutex  sync.Mutex
	engine api.Engine
	answer func(api.Transaction) (int, any)
	writes []api.Transaction
}

func newGroup(t *testing.T) *group {
	fake := &group{engine: api.Engine{
		Metadata: api.Metadata{Name: "e-1", Revision: 12, Labels: api.Labels{"old": "x"}},
		Spec:     api.EngineSpec{Address: "127.0.0.1:9", Zone: "z", Service: "s"},
		Status:   api.EngineStatus{Phase: api.PhaseServing},
	}}
	fake.answer = func(api.Transaction) (int, any) {
		return http.StatusOK, api.TransactionResult{Code: api.OutcomeAccepted, Revision: 20}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operatorapi.PathObjects+"/{kind}/{name}", fake.getObject)
	mux.HandleFunc("POST "+operatorapi.PathTransactions, fake.postTransaction)
	mux.HandleFunc("GET "+operatorapi.PathInForce, func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, operatorapi.InForce{Done: true, Acknowledged: 3})
	})
	fake.server = httptest.NewServer(mux)
	t.Cleanup(fake.server.Close)
	return fake
}

func reply(w http.ResponseWriter, status int, value any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (g *group) getObject(w http.ResponseWriter, r *http.Request) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if r.PathValue("name") != g.engine.Name {
		reply(w, http.StatusNotFound, operatorapi.Error{Code: operatorapi.ErrorNotFound})
		return
	}
	reply(w, http.StatusOK, operatorapi.ObjectList{Objects: []api.Object{{Engine: &g.engine}}})
}

func (g *group) postTransaction(w http.ResponseWriter, r *http.Request) {
	var transaction api.Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		reply(w, http.StatusBadRequest, operatorapi.Error{Code: operatorapi.ErrorInvalidBody, Message: err.Error()})
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.writes = append(g.writes, transaction)
	status, value := g.answer(transaction)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	reply(w, status, value)
}

// call runs one command line against the group.
func (g *group) call(args ...string) (code cli.ExitCode, out, messages string) {
	var outBuffer, errBuffer bytes.Buffer
	endpoints := strings.TrimPrefix(g.server.URL, "http://")
	args = append(args, "--endpoints", endpoints)
	code = run(context.Background(), args, cli.Streams{Out: &outBuffer, Err: &errBuffer})
	return code, outBuffer.String(), errBuffer.String()
}

const engineFile = "objects:\n  - engine: {metadata: {name: e-1}, spec: {address: '127.0.0.1:9', zone: z, service: s}}\n"

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "objects.yaml")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestBadInputNamesTheFieldAndChangesNothing(t *testing.T) {
	good := writeFile(t, engineFile)
	faulty := writeFile(t, "objects:\n  - engine: {metadata: {name: E}, spec: {address: here, service: s, sped: 1}}\n")
	cases := []struct {
		name string
		args []string
		want []string
	}{
		{"no file", []string{"apply"}, []string{"file: must name a file"}},
		{"file that is not there", []string{"apply", "--file", "/nonexistent"}, []string{"file:", "no such file"}},
		{"faulty objects", []string{"apply", "--file", faulty}, []string{"objects[0].engine.metadata.name", "objects[0].engine.spec.address", "objects[0].engine.spec.sped: unknown field; allowed are"}},
		{"operation ID", []string{"apply", "--file", good, "--operation-id", "a b"}, []string{"operation-id: must be 1 to 128"}},
		{"revisions", []string{"apply", "--file", good, "--revisions", "Engine/e-1=x"}, []string{"revisions: must be KIND/NAME=REVISION"}},
		{"revisions of another object", []string{"apply", "--file", good, "--revisions", "Engine/e-2=1"}, []string{"revisions: names Engine/e-2"}},
		{"dry run that waits", []string{"apply", "--file", good, "--dry-run", "--wait"}, []string{"wait: must not stand with --dry-run"}},
		{"timeout", []string{"apply", "--file", good, "--timeout", "soon"}, []string{"timeout: must be a duration above zero"}},
		{"boolean", []string{"apply", "--file", good, "--wait=maybe"}, []string{"wait: must be true or false"}},
		{"output", []string{"apply", "--file", good, "--output", "xml"}, []string{"output: must be one of table, json"}},
		{"unknown flag", []string{"apply", "--fiel", good}, []string{"not defined: -fiel"}},
		{"surplus argument", []string{"apply", "--file", good, "more"}, []string{`arguments: unexpected "more"`}},
		{"kind", []string{"label", "engin", "e-1", "a=b"}, []string{"kind: must be one of Intent, Engine"}},
		{"name", []string{"label", "engine", "E 1", "a=b"}, []string{"label: name: "}},
		{"no label", []string{"label", "engine", "e-1"}, []string{"label: is missing"}},
		{"label", []string{"label", "engine", "e-1", "a"}, []string{"label: must be key=value, or key- to remove one"}},
		{"label key", []string{"label", "engine", "e-1", "-a=b"}, []string{"not defined: -a"}},
		{"label twice", []string{"label", "engine", "e-1", "a=b", "a-"}, []string{`label: "a" must stand once`}},
		{"revision", []string{"label", "engine", "e-1", "a=b", "--revision", "-3"}, []string{"revision: must be a whole number"}},
		{"no engine", []string{"drain"}, []string{"engine: is missing"}},
		{"ledger without key", []string{"ledger", "--tenant", "water"}, []string{"key: must be the idempotency key"}},
		{"ledger with arguments", []string{"ledger", "--key", "a", "b"}, []string{`arguments: unexpected "b"`}},
		{"status with arguments", []string{"status", "all"}, []string{`arguments: unexpected "all"`}},
		{"orders with arguments", []string{"orders", "all"}, []string{`arguments: unexpected "all"`}},
		{"output of status", []string{"status", "--output", "yaml"}, []string{"output: must be one of table, json"}},
		{"kind to get", []string{"get", "gadgets"}, []string{"kind: must be one of Intent, Engine"}},
		{"faulty objects to diff", []string{"diff", "--file", faulty}, []string{"objects[0].engine.spec.sped: unknown field; allowed are"}},
		{"engine to drain", []string{"drain", "E 1"}, []string{"name: "}},
		{"member action", []string{"members", "drop"}, []string{"action: must be one of list, add, promote, remove"}},
		{"member without ID", []string{"members", "remove"}, []string{"id: must be the ID"}},
		{"member to add", []string{"members", "add"}, []string{"id:", "name:", "peer-address:", "feed-address:", "operator-address:"}},
		{"three arguments", []string{"get", "engine", "e-1", "e-2"}, []string{"arguments: unexpected"}},
		{"diff without file", []string{"diff"}, []string{"file: must name a file"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fake := newGroup(t)
			code, _, messages := fake.call(test.args...)
			must.Eq(t, cli.ExitUsage, code, must.Sprint(messages))
			for _, want := range test.want {
				must.StrContains(t, messages, want)
			}
			must.SliceEmpty(t, fake.writes)
		})
	}
}

func TestBadInputWithoutGroup(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want string
	}{
		{"no command", nil, "command: must be one of control, proxy"},
		{"unknown command", []string{"aply"}, `got "aply"`},
		{"endpoints", []string{"status", "--endpoints", "control:7103"}, "endpoints: must be IP numbers with ports"},
		{"no endpoints", []string{"status"}, "endpoints: must be IP numbers with ports"},
		{"no settings", []string{"check"}, "settings: must name a file"},
		{"daemon without settings", []string{"proxy", "--retry-share", "7"}, "proxy.retryShare: must be from 0.001 to 1"},
		{"daemon with arguments", []string{"control", "now"}, "arguments: unexpected"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var out, messages bytes.Buffer
			code := run(context.Background(), test.args, cli.Streams{Out: &out, Err: &messages})
			must.Eq(t, cli.ExitUsage, code)
			must.StrContains(t, messages.String(), test.want)
		})
	}
}

func TestExitCodes(t *testing.T) {
	file := writeFile(t, engineFile)
	result := func(value api.TransactionResult) func(api.Transaction) (int, any) {
		return func(api.Transaction) (int, any) { return http.StatusOK, value }
	}
	failure := func(status int, code operatorapi.ErrorCode) func(api.Transaction) (int, any) {
		return func(api.Transaction) (int, any) { return status, operatorapi.Error{Code: code, Message: "m"} }
	}
	key := api.Key{Kind: api.KindEngine, Name: "e-1"}
	cases := []struct {
		name   string
		answer func(api.Transaction) (int, any)
		want   cli.ExitCode
		say    string
	}{
		{"accepted", result(api.TransactionResult{Code: api.OutcomeAccepted, Revision: 3}), cli.ExitOK, ""},
		{"invalid", result(api.TransactionResult{Code: api.OutcomeInvalid, Faults: []api.FieldFault{{Field: "f", Message: "bad"}}}), cli.ExitUsage, "f: bad"},
		{"too broad", result(api.TransactionResult{Code: api.OutcomeTooBroad, AffectedEngines: []string{"e-1"}}), cli.ExitUsage, "allow-broad: "},
		{"revision", result(api.TransactionResult{Code: api.OutcomeRevisionConflict, Conflicts: []api.Conflict{{Key: key}}}), exitConflict, "Engine/e-1 does not exist now"},
		{"operation", result(api.TransactionResult{Code: api.OutcomeOperationConflict}), exitConflict, "operation-id: was used"},
		{"intents", result(api.TransactionResult{Code: api.OutcomeIntentConflict, Conflicts: []api.Conflict{{Intents: []string{"a", "b"}, Engine: "e"}}}), exitConflict, "a and b want different things of engine e"},
		{"no quorum", failure(http.StatusServiceUnavailable, operatorapi.ErrorNoQuorum), exitNotAccepted, "nothing was changed"},
		{"unknown", failure(http.StatusGatewayTimeout, operatorapi.ErrorOutcomeUnknown), exitUnknown, "resend with --operation-id op-1 --revisions Engine/e-1=12"},
		{"refused", failure(http.StatusConflict, operatorapi.ErrorRefused), exitConflict, "m"},
		{"internal", failure(http.StatusBadRequest, operatorapi.ErrorInternal), cli.ExitFailed, "m"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fake := newGroup(t)
			fake.answer = test.answer
			// The time ends in the pause that a refusal asks for, never in a request,
			// whose outcome would rightly be unknown.
			code, _, messages := fake.call("apply", "--file", file, "--operation-id", "op-1", "--timeout", "900ms")
			must.Eq(t, test.want, code, must.Sprint(messages))
			must.StrContains(t, messages, test.say)
		})
	}
}

func conflictOnce(fake *group) func(api.Transaction) (int, any) {
	return func(transaction api.Transaction) (int, any) {
		if transaction.Writes[0].Object.Metadata().Revision == fake.engine.Revision {
			return http.StatusOK, api.TransactionResult{Code: api.OutcomeAccepted, Revision: 30}
		}
		conflict := api.Conflict{Key: api.Key{Kind: api.KindEngine, Name: "e-1"}, Current: &api.Object{Engine: &fake.engine}}
		return http.StatusOK, api.TransactionResult{Code: api.OutcomeRevisionConflict, Conflicts: []api.Conflict{conflict}}
	}
}

func TestConflictIsRetriedOnlyWithoutGivenRevision(t *testing.T) {
	fake := newGroup(t)
	accept := conflictOnce(fake)
	first := true
	fake.answer = func(transaction api.Transaction) (int, any) {
		if first { // another writer comes between the read and the write
			first = false
			fake.engine.Revision = 13
		}
		return accept(transaction)
	}
	code, _, messages := fake.call("label", "engine", "e-1", "new=y", "old-", "--wait")
	must.Eq(t, cli.ExitOK, code, must.Sprint(messages))
	must.SliceLen(t, 2, fake.writes)
	must.NotEq(t, fake.writes[0].OperationID, fake.writes[1].OperationID)
	must.Eq(t, api.Labels{"new": "y"}, fake.writes[1].Writes[0].Object.Engine.Labels)
	must.Eq(t, "", string(fake.writes[1].Writes[0].Object.Engine.Status.Phase))

	fake = newGroup(t)
	fake.answer = conflictOnce(fake)
	code, _, messages = fake.call("label", "engine", "e-1", "new=y", "--revision", "11")
	must.Eq(t, exitConflict, code)
	must.StrContains(t, messages, "Engine/e-1 has revision 12 now")
	must.SliceLen(t, 1, fake.writes)
}

func TestChangeThatIsAlreadyMadeSendsNothing(t *testing.T) {
	fake := newGroup(t)
	code, out, _ := fake.call("label", "engine", "e-1", "old=x")
	must.Eq(t, cli.ExitOK, code)
	must.StrContains(t, out, "accepted at revision 12")
	must.SliceEmpty(t, fake.writes)
}

func TestObjectThatDoesNotExist(t *testing.T) {
	fake := newGroup(t)
	code, _, messages := fake.call("drain", "e-2")
	must.Eq(t, cli.ExitFailed, code)
	must.StrContains(t, messages, "Engine/e-2 does not exist")
	must.SliceEmpty(t, fake.writes)
}

func TestApplyReport(t *testing.T) {
	fake := newGroup(t)
	code, out, messages := fake.call("apply", "--file", writeFile(t, engineFile), "--wait", "--output", "json")
	must.Eq(t, cli.ExitOK, code, must.Sprint(messages))
	var report applyReport
	must.NoError(t, json.Unmarshal([]byte(out), &report))
	must.Eq(t, "Engine/e-1=12", report.Revisions)
	must.Eq(t, 3, report.InForce.Acknowledged)
	must.Eq(t, report.OperationID, fake.writes[0].OperationID)
}

func TestDiffAndGetRoundTrip(t *testing.T) {
	fake := newGroup(t)
	code, text, messages := fake.call("get", "engine", "e-1", "--output", "yaml")
	must.Eq(t, cli.ExitOK, code, must.Sprint(messages))
	path := writeFile(t, text)
	code, out, _ := fake.call("diff", "--file", path)
	must.Eq(t, cli.ExitOK, code)
	must.Eq(t, "no difference\n", out)

	changed := writeFile(t, strings.Replace(text, "zone: z", "zone: y", 1))
	_, out, _ = fake.call("diff", "--file", changed)
	must.Eq(t, "Engine/e-1 spec.zone: z -> y\n", out)
}

func TestCheckExitsWithEveryFault(t *testing.T) {
	var out, messages bytes.Buffer
	path := writeFile(t, "log: {level: loud, colour: red}")
	code := run(context.Background(), []string{"check", "--settings", path, "--output", "json"}, cli.Streams{Out: &out, Err: &messages})
	must.Eq(t, cli.ExitUsage, code)
	must.StrContains(t, messages.String(), "log.level: must be one of")
	must.StrContains(t, messages.String(), "log.colour: unknown field")
	var report checkReport
	must.NoError(t, json.Unmarshal(out.Bytes(), &report))
	must.SliceLen(t, 2, report.Faults)
}

// Guards against a finding for a file that is in use.
func TestFilesOfDeploymentsHaveNoFinding(t *testing.T) {
	paths, err := filepath.Glob("../../deployments/*/*.yaml")
	must.NoError(t, err)
	changes, err := filepath.Glob("../../deployments/*/changes/*.yaml")
	must.NoError(t, err)
	must.SliceNotEmpty(t, paths)
	for _, path := range append(paths, changes...) {
		var out, messages bytes.Buffer
		code := run(context.Background(), []string{"check", "--settings", path}, cli.Streams{Out: &out, Err: &messages})
		must.Eq(t, cli.ExitOK, code, must.Sprint(messages.String()))
		must.Eq(t, path+": no fault\n", out.String())
	}
}

// Guards against a finding that is not shown or that does not reach the exit code.
func TestCheckExitsWithEveryFinding(t *testing.T) {
	path := writeFile(t, "objects:\n  - service: {metadata: {name: s}, spec: {type: backend}}\n  - class: {metadata: {name: c}, spec: {service: s, deadlineMilliseconds: 5}}\n")
	var out, messages bytes.Buffer
	code := run(context.Background(), []string{"check", "--settings", path, "--output", "json"}, cli.Streams{Out: &out, Err: &messages})
	must.Eq(t, cli.ExitUsage, code)
	must.StrContains(t, messages.String(), "objects[1].class.spec.service: no request of the class can be served")
	var report checkReport
	must.NoError(t, json.Unmarshal(out.Bytes(), &report))
	must.SliceEmpty(t, report.Faults)
	must.SliceLen(t, 1, report.Findings)
	must.Nil(t, report.Changes)
}

// Guards against a comparison that is omitted, or that makes a file without a fault fail.
func TestCheckComparesWithObjectsInForce(t *testing.T) {
	fake := newGroup(t)
	_, text, _ := fake.call("get", "engine", "e-1", "--output", "yaml")
	path := writeFile(t, strings.Replace(text, "zone: z", "zone: y", 1))
	code, out, messages := fake.call("check", "--settings", path)
	must.Eq(t, cli.ExitOK, code, must.Sprint(messages))
	must.Eq(t, "Engine/e-1 spec.zone: z -> y\n"+path+": no fault\n", out)
	must.SliceEmpty(t, fake.writes)
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	for _, command := range rootCommand(cli.Streams{}).Subcommands {
		var out, messages bytes.Buffer
		code := run(context.Background(), []string{command.Name, "--help"}, cli.Streams{Out: &out, Err: &messages})
		must.Eq(t, cli.ExitOK, code)
		must.StrContains(t, out.String(), "EXAMPLE\n  landingtrail "+command.Name)
	}
}

func TestVariablesStandInForFlags(t *testing.T) {
	fake := newGroup(t)
	t.Setenv("LANDINGTRAIL_ENDPOINTS", strings.TrimPrefix(fake.server.URL, "http://"))
	var out, messages bytes.Buffer
	code := run(context.Background(), []string{"get", "engine", "e-1"}, cli.Streams{Out: &out, Err: &messages})
	must.Eq(t, cli.ExitOK, code, must.Sprint(messages.String()))
	must.StrContains(t, out.String(), "e-1")
}
