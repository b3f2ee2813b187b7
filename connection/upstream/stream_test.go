package upstream

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const goodEvent = `data: {"id":"r1","attempt":2,"offset":0,"incarnation":"7","choices":[{"index":0,"text":"w0 "}]}` + "\n\n"

func TestStream(t *testing.T) {
	identity := Identity{RequestID: "r1", Attempt: 2, Incarnation: 7}
	cases := []struct {
		name   string
		input  string
		frames int
		want   error
	}{
		{"complete", goodEvent + "data: [DONE]\n\n", 1, io.EOF},
		{"complete with carriage returns", strings.ReplaceAll(goodEvent, "\n", "\r\n") + "data: [DONE]\r\n\r\n", 1, io.EOF},
		{"comments", ": hello\n\n" + goodEvent + ": bye\n\ndata: [DONE]\n\n", 1, io.EOF},
		{"empty", "", 0, ErrIncompleteStream},
		{"ends after an event", goodEvent, 1, ErrIncompleteStream},
		{"ends inside an event", goodEvent + "data: {", 1, ErrIncompleteStream},
		{"ends inside the terminal event", goodEvent + "data: [DONE]", 1, ErrIncompleteStream},
		{"terminal event unfinished", goodEvent + "data: [DONE]\n", 1, ErrIncompleteStream},
		{"bytes after the terminal event", "data: [DONE]\n\ndata: more\n\n", 0, ErrAfterTerminal},
		{"no JSON", "data: hello\n\n", 0, ErrMalformed},
		{"negative offset", strings.Replace(goodEvent, `"offset":0`, `"offset":-1`, 1), 0, ErrMalformed},
		{"another request", strings.Replace(goodEvent, "r1", "r2", 1), 0, ErrUnmatchedResponse},
		{"another attempt", strings.Replace(goodEvent, `"attempt":2`, `"attempt":1`, 1), 0, ErrUnmatchedResponse},
		{"another incarnation", strings.Replace(goodEvent, `"7"`, `"8"`, 1), 0, ErrUnmatchedResponse},
		{"error event", "event: error\ndata: {\"error\":{\"message\":\"broken\"}}\n\n", 0, ErrEngine},
		{"event too large", "data: " + strings.Repeat("x", 2000) + "\n\n", 0, ErrEventTooLarge},
		{"event too large in many lines", strings.Repeat("data: "+strings.Repeat("x", 200)+"\n", 10) + "\n", 0, ErrEventTooLarge},
		{"line without end", strings.Repeat("x", 2000), 0, ErrEventTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			stream := NewStream(strings.NewReader(test.input), identity, 1000)
			frames := 0
			for {
				frame, err := stream.Next()
				if err != nil {
					must.ErrorIs(t, err, test.want)
					break
				}
				must.Eq(t, 1, frame.Tokens)
				frames++
			}
			must.Eq(t, test.frames, frames)
		})
	}
}

func TestStreamKeepsFirstIncarnation(t *testing.T) {
	input := goodEvent + strings.Replace(goodEvent, `"7"`, `"8"`, 1)
	stream := NewStream(strings.NewReader(input), Identity{RequestID: "r1", Attempt: 2}, 0)
	_, err := stream.Next()
	must.NoError(t, err)
	_, err = stream.Next()
	must.ErrorIs(t, err, ErrUnmatchedResponse)
}

func FuzzEventReader(f *testing.F) {
	f.Add(goodEvent + "data: [DONE]\n\n")
	f.Add("event: error\ndata: x\n\n")
	f.Fuzz(func(t *testing.T, input string) {
		reader := NewEventReader(strings.NewReader(input), 64)
		for {
			event, err := reader.Next()
			if err != nil {
				return
			}
			must.True(t, len(event.Data) <= 64+64)
		}
	})
}
