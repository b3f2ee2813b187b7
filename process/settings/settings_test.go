package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

const goodControl = `
control:
  name: control-1
  group: test
  dataDirectory: data
  members:
    - {name: control-1, peerAddress: "127.0.0.1:1", feedAddress: "127.0.0.1:2", operatorAddress: "127.0.0.1:3"}
`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func fieldsOf(faults []api.FieldFault) []string {
	var fields []string
	for _, fault := range faults {
		fields = append(fields, fault.Field)
	}
	return fields
}

func TestCheckNamesEveryFault(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"none", goodControl, nil},
		{"no YAML", "control: [", []string{""}},
		{"empty", "", []string{""}},
		{"two documents", goodControl + "---\nlog: {level: info}\n", []string{""}},
		{"no mapping", "- 1", []string{""}},
		{"unknown section", "controll: {}", []string{"controll"}},
		{"alias", "log: &a {level: info}\ncontrol: *a", []string{"control"}},
		{"repeated field", "log: {level: info, level: warn}", []string{"log.level"}},
		{"section without value", "log:", []string{"log"}},
		{
			"several kinds at once",
			`
log: {level: loud, colour: red}
control:
  name: Control One
  group: 7
  dataDirectory: ""
  members:
    - {name: control-1, peerAddress: "host:1", feedAddress: "127.0.0.1:2", operatorAddress: "127.0.0.1:2"}
    - {name: control-1, peerAddress: "127.0.0.1:0", feedAddress: "127.0.0.1:5"}
  electionTimeout: 3
  heartbeatInterval: 900ms
  maxBodyBytes: lots
  join: maybe
  planner: best
`,
			[]string{
				"control.dataDirectory", "control.electionTimeout", "control.group", "control.join", "control.maxBodyBytes",
				"control.members[0].operatorAddress", "control.members[0].peerAddress",
				"control.members[1].name", "control.members[1].operatorAddress", "control.members[1].peerAddress",
				"control.name", "control.planner", "log.colour", "log.level",
			},
		},
		{
			"timeouts that do not fit",
			strings.Replace(goodControl, "  name: control-1", "  name: control-1\n  leaseDuration: 1s\n  heartbeatInterval: 600ms", 1),
			[]string{"control.heartbeatInterval", "control.leaseDuration"},
		},
		{
			"name of no member",
			strings.Replace(goodControl, "  name: control-1", "  name: control-9", 1),
			[]string{"control.name"},
		},
		{
			"proxy",
			"proxy: {name: p, zone: z, address: '127.0.0.1:1', adminAddress: '127.0.0.1:1', control: ['127.0.0.1:2', '127.0.0.1:2', 'x:2'], retryShare: 1.5, drainLimit: -1s}",
			[]string{"proxy.adminAddress", "proxy.control[1]", "proxy.control[2]", "proxy.drainLimit", "proxy.retryShare"},
		},
		{"proxy without anything", "proxy: {}", []string{"proxy.address", "proxy.adminAddress", "proxy.control", "proxy.name", "proxy.zone"}},
		{
			"objects",
			`
objects:
  - engine: {metadata: {name: e-1}, spec: {address: "127.0.0.1:1", zone: z, service: s, drian: true}}
  - engine: {metadata: {name: e-1}, spec: {address: "host:1", zone: z, service: s}}
  - {}
  - intent: {metadata: {name: i, labels: {a: 1}}, spec: {model: m, version: 3, roles: [boss], maxUnavailable: two}}
  - class: {metadata: {name: c}, spec: {service: s, priority: 1.5, deadlineMilliseconds: 0}}
`,
			[]string{
				"objects[0].engine.spec.drian", "objects[1]", "objects[1].engine.spec.address", "objects[2].object",
				"objects[3].intent.metadata.labels.a", "objects[3].intent.spec.maxUnavailable", "objects[3].intent.spec.roles[0]",
				"objects[3].intent.spec.version", "objects[4].class.spec.deadlineMilliseconds", "objects[4].class.spec.priority",
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			faults, err := settings.Check(write(t, test.text))
			must.NoError(t, err)
			must.Eq(t, test.want, fieldsOf(faults), must.Sprintf("%v", faults))
		})
	}
}

func TestMessagesSayWhatIsAllowed(t *testing.T) {
	faults, err := settings.Check(write(t, "log: {level: loud}\nproxy: {address: here, dialTimeout: 2h}"))
	must.NoError(t, err)
	text := settings.Faults(faults).Error()
	for _, want := range []string{
		`log.level: must be one of debug, info, warn, error, got "loud" (line 1)`,
		`proxy.address: must be an IP number and a port from 1 to 65535, such as 10.0.0.1:7101, got "here" (line 2)`,
		`proxy.dialTimeout: must be from 1ms to 1m, got "2h" (line 2)`,
		"proxy.name: must be set",
	} {
		must.StrContains(t, text, want)
	}
}

func TestLoadLaysOverridesOverTheFile(t *testing.T) {
	path := write(t, strings.Replace(goodControl, "dataDirectory: data", "dataDirectory: data\n  electionTimeout: nonsense", 1))
	file, err := settings.Load(path, settings.SectionControl, []settings.Override{
		{Path: "control.electionTimeout", Text: "2s"},
		{Path: "control.dataDirectory", Text: "elsewhere"},
		{Path: "log.level", Text: "debug"},
	})
	must.NoError(t, err)
	must.Eq(t, 2*time.Second, file.Control.ElectionTimeout)
	must.Eq(t, "elsewhere", file.Control.DataDirectory)
	must.Eq(t, "debug", file.Log.Level)
	must.Eq(t, 100*time.Millisecond, file.Control.HeartbeatInterval, must.Sprint("a default"))
}

func TestLoadNamesFaultsOfFileAndFlagsTogether(t *testing.T) {
	path := write(t, strings.Replace(goodControl, "group: test", "group: test\n  planner: best", 1))
	_, err := settings.Load(path, settings.SectionControl, []settings.Override{
		{Path: "control.electionTimeout", Text: "soon"},
		{Path: "control.nonsense", Text: "1"},
	})
	var faults settings.Faults
	must.True(t, errors.As(err, &faults))
	must.Eq(t, []string{"control.electionTimeout", "control.nonsense", "control.planner"}, fieldsOf(faults))
}

func TestLoadWithoutFile(t *testing.T) {
	file, err := settings.Load("", settings.SectionProxy, []settings.Override{
		{Path: "proxy.name", Text: "p"},
		{Path: "proxy.zone", Text: "z"},
		{Path: "proxy.address", Text: "127.0.0.1:1"},
		{Path: "proxy.adminAddress", Text: "127.0.0.1:2"},
		{Path: "proxy.control", Text: "127.0.0.1:3, [::1]:4"},
	})
	must.NoError(t, err)
	must.Eq(t, []string{"127.0.0.1:3", "[::1]:4"}, file.Proxy.Control)
}

func TestFileThatCannotBeRead(t *testing.T) {
	_, err := settings.Check(filepath.Join(t.TempDir(), "none.yaml"))
	must.ErrorIs(t, err, os.ErrNotExist)
}

func TestDeploymentsHaveNoFault(t *testing.T) {
	paths, err := filepath.Glob("../../deployments/*/*.yaml")
	must.NoError(t, err)
	changes, err := filepath.Glob("../../deployments/*/changes/*.yaml")
	must.NoError(t, err)
	paths = append(paths, changes...)
	must.SliceLen(t, 11, paths)
	for _, path := range paths {
		faults, err := settings.Check(path)
		must.NoError(t, err)
		must.SliceEmpty(t, faults, must.Sprint(path))
	}
}

func FuzzParseObjects(f *testing.F) {
	f.Add([]byte("objects:\n  - engine: {metadata: {name: e}, spec: {address: '127.0.0.1:1', zone: z, service: s}}"))
	f.Add([]byte("a: &a [*a, *a]"))
	f.Add([]byte("? [1]\n: {}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		objects, err := settings.ParseObjects(data)
		if err == nil && len(objects) == 0 {
			t.Fatal("no object and no fault")
		}
	})
}
