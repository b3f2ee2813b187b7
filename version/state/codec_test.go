package state

import (
	"encoding/binary"
	"reflect"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/binenc"
)

// fillValue sets v and every nested field to a nonzero value, so that a field that the
// codec omits is detected after decoding.
func fillValue(v reflect.Value, seed *int) {
	*seed++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillValue(v.Elem(), seed)
	case reflect.Struct:
		for i := range v.NumField() {
			fillValue(v.Field(i), seed)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillValue(v.Index(0), seed)
		fillValue(v.Index(1), seed)
	case reflect.Array:
		for i := range v.Len() {
			fillValue(v.Index(i), seed)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 2 {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fillValue(key, seed)
			fillValue(value, seed)
			v.SetMapIndex(key, value)
		}
	case reflect.String:
		v.SetString(string(rune('a'+*seed%26)) + "x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*seed) + 0.5)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*seed%200 + 1))
	default:
		v.SetInt(int64(-*seed))
	}
}

// fullCommands returns a command of each kind with every field set. The names of the
// bodies must be in the order of the CommandKind constants.
func fullCommands() []Command {
	var commands []Command
	seed := 0
	bodies := reflect.TypeFor[Command]()
	fields := []string{"Transaction", "OpenOrder", "CloseOrder", "EngineReport", "Machines", "Claim", "RunOutcome", "Member", "VoidOrder", "ReplaceIngress", "Observe", "CountUsage", "DecideUsage", "UsageReported"}
	for i, name := range fields {
		command := Command{Kind: CommandKind(i + 1), Time: 1_700_000_000_000}
		field, _ := bodies.FieldByName(name)
		fillValue(reflect.ValueOf(&command).Elem().FieldByIndex(field.Index), &seed)
		if command.Kind == CommandObserve {
			// Each object in an Observe command must have exactly one kind.
			command.Observe.Put = []api.Object{{Replica: command.Observe.Put[0].Replica}, {Quarantine: command.Observe.Put[1].Quarantine}, {Suspect: command.Observe.Put[0].Suspect}}
			command.Observe.Removed = []api.Key{{Kind: api.KindProxy, Name: "p"}}
		}
		if command.Kind == CommandTransaction {
			fillValue(reflect.ValueOf(&command.Limits).Elem(), &seed)
		}
		commands = append(commands, command)
	}
	return commands
}

func TestCodecPreservesEveryField(t *testing.T) {
	for _, command := range fullCommands() {
		data := Encode(command)
		decoded, err := Decode(data)
		must.NoError(t, err)
		must.Eq(t, command, decoded)
		for i := range data {
			_, err := Decode(data[:i])
			must.Error(t, err, must.Sprintf("kind %d cut to %d bytes", command.Kind, i))
		}
		_, err = Decode(append(data, 0))
		must.ErrorIs(t, err, binenc.ErrTrailing)
	}
	_, err := Decode([]byte{200, 0})
	must.ErrorIs(t, err, ErrUnknownKind)
}

func TestStoredRecordsPreserveEveryField(t *testing.T) {
	seed := 0
	var result api.TransactionResult
	fillValue(reflect.ValueOf(&result).Elem(), &seed)
	for i := range result.Conflicts {
		result.Conflicts[i].Key.Kind = api.KindEngine
		result.Conflicts[i].Current = &api.Object{Engine: result.Conflicts[i].Current.Engine}
	}
	must.Eq(t, result, readResult(binenc.NewReader(appendResult(nil, &result))))
	record := claimRecord{nonce: 5}
	fillValue(reflect.ValueOf(&record.Claim).Elem(), &seed)
	must.Eq(t, record.Claim, readClaimRecord(binenc.NewReader(appendClaimRecord(nil, &record))).Claim)
	must.Eq(t, record.nonce, readClaimRecord(binenc.NewReader(appendClaimRecord(nil, &record))).nonce)
}

// newPopulatedMachine returns a machine with most parts of its state filled.
func newPopulatedMachine() *Machine {
	m := New()
	pool := api.Labels{"pool": "a"}
	commands := []Command{
		{Kind: CommandTransaction, Transaction: &api.Transaction{OperationID: "op", Writes: []api.Write{
			put(testEngine("e1", pool)), put(testEngine("e2", nil)), put(testIntent("i1", "storm", pool)),
		}}},
		{Kind: CommandTransaction, Transaction: &api.Transaction{OperationID: "refused", Writes: []api.Write{put(testEngine("e1", pool))}}},
		{Kind: CommandReportEngine, EngineReport: &EngineReport{Engine: "e1", Incarnation: 6, Phase: api.PhaseIdle}},
		{Kind: CommandReportEngine, EngineReport: &EngineReport{Engine: "e1", Incarnation: 7, Phase: api.PhaseIdle}},
		{Kind: CommandOpenOrder, OpenOrder: &OpenOrder{Engine: "e1", Incarnation: 7, Assignment: servingAssignment}},
		{Kind: CommandMachines, Machines: &Machines{Leaving: []string{"e2"}, Gone: []string{"b1"}}},
		claimCommand(1),
		{Kind: CommandRunOutcome, RunOutcome: &RunOutcome{Tenant: "gritting", Key: "briefing-1", Nonce: 1, Outcome: api.RunNotRun}},
		claimCommand(1),
		{Kind: CommandMember, Member: &Member{ID: 1, Name: "a"}},
	}
	for i, command := range commands {
		m.Apply(1, uint64(i+1), command)
	}
	return m
}

func TestRestoreRejectsCorruption(t *testing.T) {
	snapshot := newPopulatedMachine().Freeze().Encode()
	m := newPopulatedMachine()
	for i := range snapshot {
		damaged := append([]byte(nil), snapshot...)
		damaged[i] ^= 1
		must.Error(t, m.Restore(damaged))
		must.Error(t, m.Restore(snapshot[:i]))
	}
	must.ErrorIs(t, m.Restore(nil), ErrFormat)
	must.Eq(t, snapshot, m.Freeze().Encode(), must.Sprint("an invalid snapshot must not change the state"))
}

func FuzzDecode(f *testing.F) {
	for _, command := range fullCommands() {
		f.Add(Encode(command))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := Decode(data)
		if err != nil {
			return
		}
		must.Eq(t, data, Encode(command))
		m := newPopulatedMachine()
		m.Apply(2, 100, command)
		must.NoError(t, New().Restore(m.Freeze().Encode()))
	})
}

func FuzzRestore(f *testing.F) {
	snapshot := newPopulatedMachine().Freeze().Encode()
	f.Add(snapshot[len(snapshotFormat) : len(snapshot)-checksumBytes])
	f.Fuzz(func(t *testing.T, body []byte) {
		data := append([]byte(snapshotFormat), body...)
		data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(data))
		m := New()
		if m.Restore(data) != nil {
			return
		}
		must.Eq(t, data, m.Freeze().Encode())
	})
}
