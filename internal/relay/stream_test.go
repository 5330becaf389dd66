package relay

import (
	"bytes"
	"slices"
	"testing"
)

// Guards against forwarding a part of an event, or taking comments for progress.
func TestEventsAreToldFromComments(t *testing.T) {
	for text, want := range map[string]struct {
		complete int
		event    bool
	}{
		": hold\n\n": {8, false}, "data: a\n\n": {9, true}, "data: a\n": {0, false}, ":\r\n\r\n": {5, false},
		": a\ndata: b\n\nid": {13, true}, "id: 1\r\n\r\n": {9, true}, "\n\n": {2, false},
	} {
		complete := completeEventsLen([]byte(text))
		if event := containsEvent([]byte(text)[:complete]); complete != want.complete || event != want.event {
			t.Errorf("%q: %d complete, event %t; want %+v", text, complete, event, want)
		}
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: hold\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		complete := completeEventsLen(data)
		if complete < 0 || complete > len(data) || complete > 0 && data[complete-1] != '\n' {
			t.Fatalf("%d of %d bytes", complete, len(data))
		}
		if lastEventID(data[:complete]) != "" && !containsEvent(data[:complete]) {
			t.Errorf("an ID without an event in %q", bytes.ToValidUTF8(data, nil))
		}
	})
}

// Guards against an order of events that depends on the parts in which they arrive.
func TestEventOrderOfPartsIsThatOfTheWhole(t *testing.T) {
	const inOrder = "id: -9223372036854775808\n\n: c\n\nid: 9223372036854775806\r\ndata: a\r\n\r\ndata: b\n\n"
	const text = inOrder + "id: 9223372036854775807\n\nid: 9223372036854775807\n\nid: 1\n\n"
	for size := 1; size <= len(text); size++ {
		var order eventOrder
		var pending, forwarded []byte
		for part := range slices.Chunk([]byte(text), size) {
			pending = append(pending, part...)
			complete := completeEventsLen(pending)
			followed := order.follow(pending[:complete])
			forwarded = append(forwarded, pending[:followed]...)
			if followed < complete {
				break
			}
			pending = pending[complete:]
		}
		if want := inOrder + "id: 9223372036854775807\n\n"; string(forwarded) != want {
			t.Errorf("in parts of %d: %q, want %q", size, forwarded, want)
		}
	}
}
